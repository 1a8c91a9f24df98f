//! Bytes that wait for a socket to become writable.

use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;

/// Bytes that the socket has not taken yet, in order.
#[derive(Debug, Default)]
pub(crate) struct SendBuffer {
    bytes: Vec<u8>,
    /// Number of `bytes`, from the front, that the socket has taken.
    sent_bytes: usize,
}

impl SendBuffer {
    /// Writes as many bytes as the socket takes, after those that are buffered already, and buffers the rest.
    pub(crate) fn send(&mut self, stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
        let mut written = 0;
        if self.is_empty() {
            write_available(stream, bytes, &mut written)?;
        }
        self.bytes.extend_from_slice(&bytes[written..]);
        Ok(())
    }

    /// Writes as many buffered bytes as the socket takes, and frees the buffer once it has taken them all.
    pub(crate) fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        write_available(stream, &self.bytes, &mut self.sent_bytes)?;
        if self.unsent() == 0 {
            *self = Self::default();
        }
        Ok(())
    }

    /// Whether the socket has taken all bytes.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes that the socket has not taken.
    pub(crate) fn unsent(&self) -> usize {
        self.bytes.len() - self.sent_bytes
    }
}

/// Writes without blocking until the socket takes no more. Adds the number of bytes that it took to `written`, even if a later
/// write fails.
fn write_available(mut stream: &TcpStream, bytes: &[u8], written: &mut usize) -> io::Result<()> {
    while *written < bytes.len() {
        match stream.write(&bytes[*written..]) {
            Ok(count) => *written += count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
