//! Errors of the exchange between predecessor and successor.

use crate::MAX_FRAME_BYTES;
use std::io;

/// Why a message could not be sent or received.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection to the peer failed, or the peer sent or read nothing until the timeout.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The header of a frame from the peer states a length above [`MAX_FRAME_BYTES`].
    #[error("the peer announced a frame of {length} bytes, at most {MAX_FRAME_BYTES} are allowed")]
    FrameTooLong {
        /// Length of the frame's body in bytes, as the frame's header states it.
        length: usize,
    },
    /// A message of this process cannot be serialized. Nothing was sent.
    #[error("a message to the peer cannot be encoded: {0}")]
    Encode(#[source] postcard::Error),
    /// A frame was received completely, but its body cannot be deserialized.
    #[error("a frame from the peer holds no known message: {0}")]
    Decode(#[source] postcard::Error),
}

#[cfg(test)]
mod tests;
