//! Errors when a node starts, with a replica's log, and on connections.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// An error of a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A log cannot be created because its file exists already.
    #[error("{}: there is a log already; it is left as it is", .path.display())]
    LogExists {
        /// The file of the log.
        path: PathBuf,
    },
    /// A file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file that counts the log's frames is truncated or damaged.
    #[error("{}: the count of the log's frames is cut or damaged", .path.display())]
    DamagedFrameCount {
        /// The file of the count.
        path: PathBuf,
    },
    /// The file does not begin with the format of a log.
    #[error("{}: it is no replica log of this format", .path.display())]
    UnknownLogFormat {
        /// The file of the log.
        path: PathBuf,
    },
    /// The log holds fewer intact frames than were written.
    #[error("{}: {found} of {counted} frames are intact", .path.display())]
    MissingFrames {
        /// The file of the log.
        path: PathBuf,
        /// Number of intact frames.
        found: u64,
        /// Number of frames that were written.
        counted: u64,
    },
    /// The records of a frame cannot be decoded or encoded.
    #[error("{}: log records: {source}", .path.display())]
    Records {
        /// The file of the log.
        path: PathBuf,
        /// The cause.
        source: postcard::Error,
    },
    /// The log's records do not form a state that a replica can resume from.
    #[error("{}: {source}", .path.display())]
    UnusableLog {
        /// The file of the log.
        path: PathBuf,
        /// The cause.
        source: replicated_config::Error,
    },
    /// The node cannot listen on its address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// A connection failed or timed out.
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// The other side announced a frame that is larger than any message.
    #[error("a frame of {bytes} bytes is larger than the limit of {max}")]
    FrameTooLarge {
        /// The announced size.
        bytes: usize,
        /// The limit.
        max: usize,
    },
    /// A frame is not authenticated by any key of this node.
    #[error("a message is not authenticated by any of this node's keys")]
    Unauthenticated,
    /// An authenticated frame does not hold a message.
    #[error("{0}")]
    Message(#[source] replicated_config::Error),
}

impl Error {
    /// Returns the conversion of an I/O error on this file.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        |source| Self::File { path: path.to_owned(), source }
    }
}

#[cfg(test)]
mod tests;
