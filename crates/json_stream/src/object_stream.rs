//! Incremental splitting of a byte stream into JSON objects.

use crate::depth::DepthTracker;
use std::error::Error;
use std::fmt;

/// An item of an [`ObjectStream`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// The text of a complete object, which may span several lines.
    Object(Vec<u8>),
    /// The end of a line outside an object. The sender sends empty lines as heartbeats.
    LineEnd,
}

/// Why the rest of a stream cannot be split into objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The stream has text other than whitespace outside an object.
    NotAnObject,
    /// An object is nested more deeply than [`MAX_DEPTH`](crate::MAX_DEPTH).
    TooDeep,
    /// An object is longer than the limit of the stream.
    TooLong,
}

impl fmt::Display for StreamError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotAnObject => "the stream has text outside a JSON object",
            Self::TooDeep => "a JSON object is nested too deeply",
            Self::TooLong => "a JSON object is too long",
        })
    }
}

impl Error for StreamError {}

/// Splits received bytes into JSON objects, which whitespace may separate.
#[derive(Debug)]
pub struct ObjectStream {
    bytes: Vec<u8>,
    /// Index in `bytes` of the next byte to scan.
    position: usize,
    /// Index in `bytes` of the first byte of the object that is being scanned.
    object_start: usize,
    depth: DepthTracker,
    max_object_bytes: usize,
}

impl ObjectStream {
    /// Creates a stream whose objects have at most `max_object_bytes` bytes.
    pub fn new(max_object_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            position: 0,
            object_start: 0,
            depth: DepthTracker::default(),
            max_object_bytes,
        }
    }

    /// Returns the buffer to which the caller appends received bytes.
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Whether an object has started and is not complete.
    pub fn is_inside_object(&self) -> bool {
        self.depth.is_inside_object()
    }

    /// Returns the next complete item, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if there is text outside an object, or an object is too long or nested too deeply.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, StreamError> {
        while let Some(&byte) = self.bytes.get(self.position) {
            self.position += 1;
            if !self.is_inside_object() {
                self.object_start = self.position - 1;
                match byte {
                    b'{' => {}
                    b'\n' => return Ok(Some(StreamItem::LineEnd)),
                    b' ' | b'\t' | b'\r' => continue,
                    _ => return Err(StreamError::NotAnObject),
                }
            }
            self.depth.advance(byte);
            self.check_limits()?;
            if !self.is_inside_object() {
                return Ok(Some(StreamItem::Object(self.bytes[self.object_start..self.position].to_vec())));
            }
        }
        self.discard_returned();
        Ok(None)
    }

    fn check_limits(&self) -> Result<(), StreamError> {
        if self.depth.exceeds_max() {
            return Err(StreamError::TooDeep);
        }
        if self.position - self.object_start > self.max_object_bytes {
            return Err(StreamError::TooLong);
        }
        Ok(())
    }

    /// Discards the bytes of returned items. Runs once for all items of a read, so that the remaining bytes are moved only once.
    fn discard_returned(&mut self) {
        let returned = if self.is_inside_object() { self.object_start } else { self.position };
        self.bytes.drain(..returned);
        self.position -= returned;
        self.object_start = 0;
    }
}
