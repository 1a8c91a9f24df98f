//! Why an instance cannot take part.

use std::io;
use std::net::SocketAddr;

/// Why the cluster's part cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The address for gossip cannot be used.
    #[error("gossip on {address}: {source}")]
    BindGossip {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The coordinator's thread cannot be started.
    #[error("thread {name}: {source}")]
    SpawnThread {
        /// The thread's name.
        name: &'static str,
        /// The system's error.
        source: io::Error,
    },
}

#[cfg(test)]
mod tests;
