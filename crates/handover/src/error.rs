//! What can go wrong between the two processes.

use crate::MAX_FRAME_BYTES;
use std::io;

/// Why a message could not be exchanged.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed, or nothing came in time.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer announced a frame that is longer than any frame may be.
    #[error("a frame of {length} bytes is too long, {MAX_FRAME_BYTES} are allowed")]
    FrameTooLong {
        /// Announced length in bytes.
        length: usize,
    },
    /// A message could not be encoded.
    #[error("a message cannot be encoded: {0}")]
    Encode(#[source] postcard::Error),
    /// A frame holds no message of this protocol.
    #[error("a frame holds no known message: {0}")]
    Decode(#[source] postcard::Error),
}

#[cfg(test)]
mod tests;
