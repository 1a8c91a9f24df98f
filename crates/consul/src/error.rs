//! Errors of queries, of the token file and of the cache file. No error text contains a token.

use catalogue::{CachedListError, ResponseError};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Why a health query has no usable response. The previous endpoint list stays in use.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The response says that no leader is known, so its data may be out of date.
    #[error("the servers have no leader")]
    NoLeader,
    /// The responding server last heard from the leader longer ago than the maximum staleness.
    #[error("the responding server last heard from its leader {} ms ago", since_contact.as_millis())]
    Stale {
        /// Time since the server's last contact with the leader.
        since_contact: Duration,
    },
    /// Any status other than 200, for example 403 for a wrong ACL token.
    #[error("the agent responded with status {0}")]
    Status(u16),
    /// The HTTP exchange failed: no connection, a timeout, or a malformed or too large response.
    #[error("the HTTP request to the agent failed: {0}")]
    Transport(#[from] ureq::Error),
    /// The body is not a valid response of the health API.
    #[error("{0}")]
    Response(#[from] ResponseError),
}

impl QueryError {
    /// Whether the agent responded with data too stale to be used, so that the next query must go to the leader.
    pub fn is_stale(&self) -> bool {
        matches!(self, Self::NoLeader | Self::Stale { .. })
    }
}

/// Why no token can be read from a token file.
#[derive(Debug, thiserror::Error)]
pub enum TokenError {
    /// The file is missing or cannot be read.
    #[error("{}: cannot read the token file: {source}", path.display())]
    Unreadable {
        /// Path of the token file.
        path: PathBuf,
        /// Why reading failed.
        source: io::Error,
    },
    /// The file is empty, too long, or contains whitespace or other characters that are invalid in a token.
    #[error("{}: the file does not contain a valid token", path.display())]
    InvalidToken {
        /// Path of the token file.
        path: PathBuf,
    },
}

/// Why a cache file is not used.
#[derive(Debug, thiserror::Error)]
pub enum CacheFileError {
    /// The file exists but cannot be read.
    #[error("cannot read the cache file: {0}")]
    Unreadable(#[from] io::Error),
    /// The contents are invalid, too old, or dated in the future.
    #[error("{0}")]
    Rejected(#[from] CachedListError),
}

#[cfg(test)]
mod tests;
