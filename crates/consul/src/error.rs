//! What can be wrong with a query, the token file or the cache file. No text holds a token.

use catalogue::{CachedListError, ResponseError};
use std::io;
use std::path::PathBuf;

/// A query without a usable response.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The servers have no leader.
    #[error("the servers have no leader")]
    NoLeader,
    /// The server lags too far behind.
    #[error("the server heard from its leader {last_contact_ms} ms ago")]
    Stale {
        /// Milliseconds since it heard from its leader.
        last_contact_ms: u64,
    },
    /// The agent did not respond with 200.
    #[error("status {0}")]
    Status(u16),
    /// The agent cannot be reached, or the connection failed.
    #[error("{0}")]
    Transport(#[from] ureq::Error),
    /// The body is not what the health API returns.
    #[error("{0}")]
    Response(#[from] ResponseError),
}

impl QueryError {
    /// Whether the agent responded, but with a list that is too old to be used.
    pub fn is_stale(&self) -> bool {
        matches!(self, Self::NoLeader | Self::Stale { .. })
    }
}

/// A token file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TokenError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// It is empty, too long, or holds blanks or other bytes that no token has.
    #[error("{}: it holds no token", path.display())]
    NoToken {
        /// The file.
        path: PathBuf,
    },
}

/// A cache file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CacheFileError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// What it holds must not be used.
    #[error("{0}")]
    Rejected(#[from] CachedListError),
}

#[cfg(test)]
mod tests;
