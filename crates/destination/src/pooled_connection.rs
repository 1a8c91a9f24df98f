//! A connection of a pool, and the attempt on it.

use exchange::AttemptId;
use link::{Connection, lock_or_abort};
use policy::BackendId;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Maximum bytes of one read.
pub(crate) const MAX_READ_BYTES: usize = 8 * 1024;

/// A connection to a backend. It carries at most one attempt at a time.
pub(crate) struct PooledConnection<Q> {
    pub(crate) socket: Connection,
    pub(crate) backend: BackendId,
    pub(crate) address: SocketAddr,
    attempt: Mutex<Option<ActiveAttempt<Q>>>,
}

/// An attempt whose request was or is being written to the connection.
pub(crate) struct ActiveAttempt<Q> {
    pub(crate) id: AttemptId,
    pub(crate) payload: Arc<Q>,
    /// Whether the kernel has accepted the last byte of the request.
    is_written: bool,
}

impl<Q> PooledConnection<Q> {
    pub(crate) fn new(socket: Connection, backend: BackendId, address: SocketAddr) -> Self {
        Self { socket, backend, address, attempt: Mutex::new(None) }
    }

    /// Writes the request of an attempt. Bytes that the kernel does not accept are queued; `on_written` is called if it has
    /// accepted all of them. On an error nothing was written, and the connection carries no attempt.
    pub(crate) fn write_attempt(
        &self,
        id: AttemptId,
        payload: &Arc<Q>,
        request: &[u8],
        on_written: impl FnOnce(),
    ) -> io::Result<()> {
        // The attempt stays locked during the write, so that a reader of the answer waits here and then finds the attempt.
        let mut attempt = lock_or_abort(&self.attempt);
        let is_written = self.socket.send(request)?;
        if is_written {
            on_written();
        }
        *attempt = Some(ActiveAttempt { id, payload: payload.clone(), is_written });
        Ok(())
    }

    /// Whether the connection carries no attempt, or one whose request the kernel has not accepted completely.
    pub(crate) fn is_unwritten(&self) -> bool {
        let has_attempt = lock_or_abort(&self.attempt).is_some();
        !has_attempt || self.socket.unsent() > 0
    }

    /// Returns the attempt on the connection; `None` if it is idle. `on_written` is called if the kernel has accepted the last
    /// byte of the request since the write or the previous call.
    pub(crate) fn active_attempt(&self, on_written: impl FnOnce()) -> Option<(AttemptId, Arc<Q>)> {
        let mut attempt = lock_or_abort(&self.attempt);
        let attempt = attempt.as_mut()?;
        if !attempt.is_written && self.socket.unsent() == 0 {
            attempt.is_written = true;
            on_written();
        }
        Some((attempt.id, attempt.payload.clone()))
    }

    /// Removes the attempt, if there is one.
    pub(crate) fn take_attempt(&self) -> Option<ActiveAttempt<Q>> {
        lock_or_abort(&self.attempt).take()
    }

    /// Removes the attempt and closes the connection, which is the only way to cancel an attempt.
    pub(crate) fn abort(&self) {
        self.take_attempt();
        self.socket.close();
    }
}
