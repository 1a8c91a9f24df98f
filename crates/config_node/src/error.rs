//! What can go wrong at a node's start, with a replica's log, or on a connection.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error of a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A log is to be created where there is one.
    #[error("{}: there is a log already; it is left as it is", .path.display())]
    LogExists {
        /// The log.
        path: PathBuf,
    },
    /// The file system refused to read or write a file.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file that counts the log's frames is cut or damaged.
    #[error("{}: the count of the log's frames is cut or damaged", .path.display())]
    DamagedFrameCount {
        /// The file with the count.
        path: PathBuf,
    },
    /// The file does not begin as a log does.
    #[error("{}: it is no replica log of this format", .path.display())]
    UnknownLogFormat {
        /// The log.
        path: PathBuf,
    },
    /// The log holds fewer intact frames than were written.
    #[error("{}: {found} of {counted} frames are intact", .path.display())]
    MissingFrames {
        /// The log.
        path: PathBuf,
        /// Intact frames.
        found: u64,
        /// Frames that were written.
        counted: u64,
    },
    /// The records of a frame cannot be decoded or encoded.
    #[error("{}: log records: {source}", .path.display())]
    Records {
        /// The log.
        path: PathBuf,
        /// Why.
        source: postcard::Error,
    },
    /// The log's records do not add up to a state that a replica can go on from.
    #[error("{}: {source}", .path.display())]
    UnusableLog {
        /// The log.
        path: PathBuf,
        /// Why.
        source: replicated_config::Error,
    },
    /// The node's address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// A connection failed, or nothing came in time.
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// The other side announced a frame that no message needs.
    #[error("a frame of {bytes} bytes is larger than the limit of {max}")]
    FrameTooLarge {
        /// The announced size.
        bytes: usize,
        /// The limit.
        max: usize,
    },
    /// No key of this node has authenticated a frame.
    #[error("a message is not authenticated by any of this node's keys")]
    Unauthenticated,
    /// An authenticated frame holds no message.
    #[error("{0}")]
    Message(#[source] replicated_config::Error),
}

#[cfg(test)]
mod tests;
