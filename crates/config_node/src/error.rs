//! Errors of starting a node, of reading and writing a replica's log, and of connections.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A failure to start a node, to use a replica's log, or to exchange a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A replica's log cannot be created because a log or its frame count exists at the path already.
    #[error("{}: a replica log already exists; it was left unchanged", .path.display())]
    LogExists {
        /// The file of the log.
        path: PathBuf,
    },
    /// An I/O operation on the log or on its frame count failed.
    #[error("{}: cannot read or write the file: {source}", .path.display())]
    File {
        /// The file that cannot be read or written.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// Without a valid frame count, missing frames at the end of the log cannot be detected.
    #[error("{}: the frame count of the log is truncated or damaged", .path.display())]
    DamagedFrameCount {
        /// The file that holds the frame count.
        path: PathBuf,
    },
    /// The file does not begin with the format identifier of a log.
    #[error("{}: not a replica log in a supported format", .path.display())]
    UnknownLogFormat {
        /// The file of the log.
        path: PathBuf,
    },
    /// Frames that were counted are missing: the replica may have cast a vote that the log no longer records.
    #[error("{}: only {intact} of {written} log frames are intact", .path.display())]
    MissingFrames {
        /// The file of the log.
        path: PathBuf,
        /// Number of intact frames at the beginning of the file.
        intact: u64,
        /// Number of frames that were written, according to the frame count.
        written: u64,
    },
    /// The encoding rejected the records of a frame.
    #[error("{}: cannot decode or encode log records: {source}", .path.display())]
    Records {
        /// The file of the log.
        path: PathBuf,
        /// The error of the encoding.
        source: postcard::Error,
    },
    /// The log's records do not form a state that a replica can resume from.
    #[error("{}: a replica cannot run on this log: {source}", .path.display())]
    UnusableLog {
        /// The file of the log.
        path: PathBuf,
        /// The reason why the records are rejected.
        source: replicated_config::Error,
    },
    /// The configured listen address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured listen address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The operating system refused to create a thread.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// An I/O error occurred while a connection was opened, read or written.
    #[error("the connection failed or timed out: {0}")]
    Connection(#[from] io::Error),
    /// The length field of a received frame exceeds the maximum size of an authenticated message.
    #[error("a frame of {bytes} bytes is larger than the limit of {max}")]
    FrameTooLarge {
        /// Size in bytes that the frame's length field announces.
        bytes: usize,
        /// Maximum size in bytes.
        max: usize,
    },
    /// The sender signed with a key that is not in this node's keyring, or the frame was altered.
    #[error("a message is not authenticated by any of this node's keys")]
    Unauthenticated,
    /// The decoder rejected the content of an authenticated frame.
    #[error("an authenticated frame holds no valid message: {0}")]
    Message(#[source] replicated_config::Error),
}

impl Error {
    /// Returns a function that converts an I/O error to [`Error::File`] with this path.
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        |source| Self::File { path: path.to_owned(), source }
    }
}

#[cfg(test)]
mod tests;
