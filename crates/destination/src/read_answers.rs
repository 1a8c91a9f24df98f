//! Reads the answers on a connection until it ends.

use crate::pooled_connection::{MAX_READ_BYTES, PooledConnection};
use crate::pools::BackendPools;
use crate::protocol::{Parsed, Protocol, StreamedAnswer};
use exchange::{AttemptEnd, AttemptId};
use link::Incoming;
use policy::Outcome;
use std::sync::Arc;

/// Maximum capacity in bytes of a buffer that is kept for the next answer.
const MAX_RETAINED_CAPACITY: usize = 32 * 1024;

impl<P: Protocol> BackendPools<P> {
    /// Reads answers and reports them to the exchange until the connection ends.
    pub(crate) fn serve(&self, connection: &Arc<PooledConnection<P::Payload>>) {
        let mut buffer = Vec::new();
        while self.read_answer(connection, &mut buffer) {}
        self.connection_ended(connection);
    }

    /// Reads once, and handles an answer that has begun or is complete. Returns whether the connection continues.
    fn read_answer(&self, connection: &Arc<PooledConnection<P::Payload>>, buffer: &mut Vec<u8>) -> bool {
        let incoming = connection.socket.receive(buffer, MAX_READ_BYTES);
        let is_end = !matches!(incoming, Ok(Incoming::Bytes(_) | Incoming::Woken));
        // If there is no attempt, the backend has closed the idle connection or has sent bytes without a request.
        let attempt = connection.active_attempt(|| self.count_attempt_written());
        let Some((id, payload)) = attempt else { return false };
        let parsed = match incoming {
            Err(_) => Parsed::Incomplete,
            Ok(_) => self.protocol.parse(&payload, buffer, is_end),
        };
        match parsed {
            Parsed::Complete { consumed, keep_alive, end } => {
                let is_clean = consumed == buffer.len() && connection.socket.unsent() == 0;
                buffer.clear();
                if buffer.capacity() > MAX_RETAINED_CAPACITY {
                    *buffer = Vec::new();
                }
                self.answer_completed(connection, id, end, keep_alive && is_clean && !is_end);
                true
            }
            Parsed::Streamed(answer) => self.answer_begun(connection, id, &answer, buffer),
            Parsed::Incomplete => !is_end && buffer.len() <= self.limits.max_answer_bytes,
            Parsed::Malformed(_) => false,
        }
    }

    /// Ends an attempt whose answer is complete. The connection returns to its pool before the exchange is notified.
    fn answer_completed(
        &self,
        connection: &Arc<PooledConnection<P::Payload>>,
        id: AttemptId,
        end: AttemptEnd<P::Answer>,
        is_reusable: bool,
    ) {
        let is_wanted = self.unassign(id);
        connection.take_attempt();
        if is_wanted && is_reusable {
            self.state().check_in(connection);
        } else {
            connection.socket.close();
        }
        if end.outcome == Outcome::Ok {
            self.protocol.on_served(connection.backend);
        }
        self.exchange().attempt_ended(id, end);
    }

    /// Streams an answer that has begun. Returns whether the connection continues.
    fn answer_begun(
        &self,
        connection: &Arc<PooledConnection<P::Payload>>,
        id: AttemptId,
        answer: &StreamedAnswer<P::Answer>,
        buffer: &mut Vec<u8>,
    ) -> bool {
        let is_wanted = self.unassign(id);
        connection.take_attempt();
        if !is_wanted {
            return false;
        }
        buffer.drain(..answer.consumed);
        let is_reusable = self.stream_answer(id, connection, buffer, answer);
        *buffer = Vec::new();
        if is_reusable {
            self.protocol.on_served(connection.backend);
            self.state().check_in(connection);
        }
        is_reusable
    }

    fn connection_ended(&self, connection: &Arc<PooledConnection<P::Payload>>) {
        // The backend cannot run a request before its last byte was sent. It may have run a request that was sent completely.
        let is_unsent = connection.socket.unsent() > 0;
        let outcome = if is_unsent { Outcome::ConnectFailed } else { Outcome::Reset };
        connection.socket.close();
        self.state().connection_ended(connection);
        // The attempt is taken after the close, so that an attempt that another thread has just written to the connection is
        // ended as well.
        if let Some(attempt) = connection.take_attempt() {
            self.unassign(attempt.id);
            self.attempt_failed(attempt.id, outcome);
        }
    }
}
