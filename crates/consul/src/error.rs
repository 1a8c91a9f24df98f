//! Errors of queries, of the token file and of the cache file. No error text contains a token.

use catalogue::{CachedListError, ResponseError};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Why a query has no usable response.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The servers have no leader.
    #[error("the servers have no leader")]
    NoLeader,
    /// The server last heard from its leader too long ago.
    #[error("the server heard from its leader {} ms ago", since_contact.as_millis())]
    Stale {
        /// Time since the last contact.
        since_contact: Duration,
    },
    /// The agent responded with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The connection to the agent failed.
    #[error("{0}")]
    Transport(#[from] ureq::Error),
    /// The body is not a valid response of the health API.
    #[error("{0}")]
    Response(#[from] ResponseError),
}

impl QueryError {
    /// Whether the agent responded with data that is too stale to be used.
    pub fn is_stale(&self) -> bool {
        matches!(self, Self::NoLeader | Self::Stale { .. })
    }
}

/// Why a token file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum TokenError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is empty, too long, or contains whitespace or other characters that are invalid in a token.
    #[error("{}: it holds no token", path.display())]
    NoToken {
        /// The file.
        path: PathBuf,
    },
}

/// Why a cache file is not used.
#[derive(Debug, thiserror::Error)]
pub enum CacheFileError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// The contents are invalid.
    #[error("{0}")]
    Rejected(#[from] CachedListError),
}

#[cfg(test)]
mod tests;
