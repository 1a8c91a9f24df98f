//! Errors of the exchange between predecessor and successor.

use crate::MAX_FRAME_BYTES;
use std::io;

/// Why a message could not be exchanged.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed, or its time-out passed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer announced a frame that exceeds [`MAX_FRAME_BYTES`].
    #[error("a frame of {length} bytes is too long, {MAX_FRAME_BYTES} are allowed")]
    FrameTooLong {
        /// Announced length in bytes.
        length: usize,
    },
    /// A message could not be encoded.
    #[error("a message cannot be encoded: {0}")]
    Encode(#[source] postcard::Error),
    /// A frame does not hold a message of this protocol.
    #[error("a frame holds no known message: {0}")]
    Decode(#[source] postcard::Error),
}

#[cfg(test)]
mod tests;
