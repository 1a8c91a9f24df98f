//! Incremental reading of request bodies.

use crate::chunked::ChunkedDecoder;
use crate::error::HttpError;
use crate::fields::Framing;

/// Reads and decodes the body of a request as it arrives.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    chunked: ChunkedDecoder,
    max_bytes: usize,
    /// The bytes of the body that have been read so far, without chunk framing.
    pub bytes: Vec<u8>,
}

impl BodyReader {
    /// Creates a reader for a body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::BodyTooLarge`] if the stated length exceeds `max_bytes`.
    pub fn new(framing: Framing, max_bytes: usize) -> Result<Self, HttpError> {
        if matches!(framing, Framing::Length(length) if length > max_bytes as u64) {
            return Err(HttpError::BodyTooLarge);
        }
        Ok(Self { framing, chunked: ChunkedDecoder::default(), max_bytes, bytes: Vec::new() })
    }

    /// Removes the body's bytes from the front of the buffer, and returns whether the body is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed or too large.
    pub fn read_from(&mut self, buffer: &mut Vec<u8>) -> Result<bool, HttpError> {
        let is_complete = match self.framing {
            Framing::Empty => true,
            Framing::Length(length) => {
                let missing = usize::try_from(length).unwrap_or(usize::MAX) - self.bytes.len();
                self.bytes.extend(buffer.drain(..missing.min(buffer.len())));
                self.bytes.len() as u64 == length
            }
            Framing::Chunked => {
                let consumed = self.chunked.decode(buffer, &mut self.bytes)?;
                buffer.drain(..consumed);
                self.chunked.is_done()
            }
            Framing::UntilEnd => {
                self.bytes.append(buffer);
                false
            }
        };
        if self.bytes.len() > self.max_bytes { Err(HttpError::BodyTooLarge) } else { Ok(is_complete) }
    }
}
