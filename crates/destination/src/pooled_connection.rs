//! Connections.

use exchange::AttemptId;
use link::Connection;
use policy::BackendId;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Bytes of one read at most.
pub(crate) const MAX_READ: usize = 8 * 1024;

/// A connection to a backend.
pub(crate) struct PooledConnection<Q> {
    pub(crate) socket: Connection,
    pub(crate) backend: BackendId,
    pub(crate) address: SocketAddr,
    /// The attempt that it carries.
    pub(crate) attempt: Mutex<Option<ActiveAttempt<Q>>>,
}

/// The attempt on a connection.
pub(crate) struct ActiveAttempt<Q> {
    pub(crate) id: AttemptId,
    pub(crate) payload: Arc<Q>,
    /// Its last byte is with the system.
    pub(crate) is_written: bool,
}

impl<Q> PooledConnection<Q> {
    pub(crate) fn new(socket: Connection, backend: BackendId, address: SocketAddr) -> Self {
        Self { socket, backend, address, attempt: Mutex::new(None) }
    }
}
