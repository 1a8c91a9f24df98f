//! Errors at the start of the cluster.

use std::io;
use std::net::SocketAddr;

/// Why the threads of the cluster cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The gossip address cannot be bound.
    #[error("cannot bind the gossip socket on {address}: {source}")]
    BindGossip {
        /// The address from [`Gossip::listen`](crate::Gossip::listen).
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system refused to create a thread.
    #[error("cannot start thread {name}: {source}")]
    SpawnThread {
        /// The name that the thread would have had.
        name: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
}

#[cfg(test)]
mod tests;
