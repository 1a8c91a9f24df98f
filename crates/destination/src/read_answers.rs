//! Reading answers until a connection ends.

use crate::pooled_connection::{MAX_READ, PooledConnection};
use crate::pools::BackendPools;
use crate::protocol::{Parsed, Protocol};
use exchange::{AttemptEnd, AttemptId};
use link::{Incoming, locked};
use policy::Outcome;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// A buffer larger than this is freed once its answer is complete.
const MAX_KEPT_BUFFER: usize = 32 * 1024;

impl<P: Protocol> BackendPools<P> {
    /// Reads answers until the connection ends.
    pub(crate) fn serve(&self, connection: &Arc<PooledConnection<P::Payload>>) {
        let mut buffer = Vec::new();
        while self.read_answer(connection, &mut buffer) {}
        self.connection_ended(connection);
    }

    /// Reads once. Returns whether the connection goes on.
    fn read_answer(&self, connection: &Arc<PooledConnection<P::Payload>>, buffer: &mut Vec<u8>) -> bool {
        let incoming = connection.socket.receive(buffer, MAX_READ);
        let is_end = !matches!(incoming, Ok(Incoming::Bytes(_) | Incoming::Woken));
        // Without an attempt nothing was requested: the backend has closed, or speaks out of turn.
        let Some((id, payload)) = self.active_attempt(connection) else { return false };
        let parsed = match incoming {
            Err(_) => Parsed::Incomplete,
            Ok(_) => self.protocol.parse(&payload, buffer, is_end),
        };
        match parsed {
            Parsed::Complete { consumed, keep_alive, end } => {
                let is_clean = consumed == buffer.len() && connection.socket.unsent() == 0;
                buffer.clear();
                if buffer.capacity() > MAX_KEPT_BUFFER {
                    *buffer = Vec::new();
                }
                self.answered(connection, id, end, keep_alive && is_clean && !is_end);
                true
            }
            Parsed::Streamed(answer) => {
                let is_wanted = self.remove_carrier(id);
                *locked(&connection.attempt) = None;
                if !is_wanted {
                    return false;
                }
                buffer.drain(..answer.consumed);
                let is_reusable = self.stream_answer(id, connection, buffer, &answer);
                *buffer = Vec::new();
                if is_reusable {
                    self.protocol.on_served(connection.backend);
                    self.check_in(connection);
                }
                is_reusable
            }
            Parsed::Incomplete => !is_end && buffer.len() <= self.limits.max_answer_bytes,
            Parsed::Malformed(_) => false,
        }
    }

    /// The attempt on a connection; counts it once its last byte is with the system.
    fn active_attempt(
        &self,
        connection: &PooledConnection<P::Payload>,
    ) -> Option<(AttemptId, Arc<P::Payload>)> {
        let mut attempt = locked(&connection.attempt);
        let active = attempt.as_mut()?;
        if !active.is_written && connection.socket.unsent() == 0 {
            active.is_written = true;
            self.attempts_written.fetch_add(1, Ordering::Relaxed);
        }
        Some((active.id, active.payload.clone()))
    }

    /// A complete answer: the connection is returned to the pool or closed, then the exchange is told.
    fn answered(
        &self,
        connection: &Arc<PooledConnection<P::Payload>>,
        id: AttemptId,
        end: AttemptEnd<P::Answer>,
        is_reusable: bool,
    ) {
        let is_wanted = self.remove_carrier(id);
        *locked(&connection.attempt) = None;
        if is_wanted && is_reusable {
            self.check_in(connection);
        } else {
            connection.socket.close();
        }
        if end.outcome == Outcome::Ok {
            self.protocol.on_served(connection.backend);
        }
        self.exchange().attempt_ended(id, end);
    }

    fn connection_ended(&self, connection: &Arc<PooledConnection<P::Payload>>) {
        // Broken before the request's last byte was written: it never ran. After that it may have.
        let is_unsent = connection.socket.unsent() > 0;
        let outcome = if is_unsent { Outcome::ConnectFailed } else { Outcome::Reset };
        connection.socket.close();
        {
            let mut state = locked(&self.state);
            state.open_connections -= 1;
            if let Some(pool) = state.pools.get_mut(&connection.backend) {
                pool.idle.retain(|idle| !Arc::ptr_eq(&idle.connection, connection));
            }
        }
        // Closed before this, so an attempt that another thread began here meanwhile is not left without an end.
        let attempt = locked(&connection.attempt).take();
        if let Some(attempt) = attempt {
            self.remove_carrier(attempt.id);
            self.attempt_failed(attempt.id, outcome);
        }
    }
}
