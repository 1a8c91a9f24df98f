//! A connection to the counter: pipelines calls, and matches answers to them in order.

use crate::call_result::{CallResult, OnCallEnded};
use crate::error::AnswerError;
use crate::protocol::{self, Answer};
use exchange::CounterCall;
use link::{Connection, Incoming, lock_or_abort};
use policy::Outcome;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum number of unanswered calls on a connection, and of calls that wait until it is open.
pub(crate) const MAX_PENDING_CALLS: usize = 256;
/// A connection with unanswered calls counts as dead after this time without received bytes, since a network partition sends no
/// reset.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for the rest of an incomplete answer. Answers have a few bytes and arrive in one piece.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of bytes of one read.
const READ_BYTES: usize = 4096;

/// A connection to the quota counter, with the calls on it that are not answered yet.
pub(crate) struct CounterConnection {
    connection: Connection,
    pending: Mutex<PendingCalls>,
    last_received: Mutex<Instant>,
}

/// Calls that were written and are not answered yet.
#[derive(Default)]
struct PendingCalls {
    /// Ids of the unanswered calls, oldest first.
    call_ids: VecDeque<u64>,
    /// Time at which the first bytes of an incomplete answer arrived; `None` if no incomplete answer is in the buffer.
    incomplete_since: Option<Instant>,
    /// Whether the counter has another address now. No more calls are written, and the connection ends with the last answer.
    is_retired: bool,
}

/// Result of [`CounterConnection::write`].
pub(crate) enum WriteResult {
    /// The call was written to the socket or its send buffer.
    Written,
    /// No byte of the call was written, so the counter added no units.
    Failed,
    /// The connection is retired, and no byte of the call was written. The caller must use another connection.
    Retired,
}

impl CounterConnection {
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection, pending: Mutex::default(), last_received: Mutex::new(Instant::now()) }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }

    pub(crate) fn close(&self) {
        self.connection.close();
    }

    /// Refuses all further calls. The caller must then call [`CounterConnection::wake`], which ends the connection if it has no
    /// unanswered calls.
    pub(crate) fn retire(&self) {
        lock_or_abort(&self.pending).is_retired = true;
    }

    /// Wakes the reader, which checks whether the connection has to end.
    pub(crate) fn wake(&self) {
        self.connection.wake();
    }

    /// Closes the connection if it has unanswered calls and no bytes have arrived from the counter for too long.
    pub(crate) fn close_if_silent(&self) {
        let has_pending = !lock_or_abort(&self.pending).call_ids.is_empty();
        if has_pending && lock_or_abort(&self.last_received).elapsed() > SILENCE_TIMEOUT {
            self.close();
        }
    }

    /// Writes a call to the socket or its send buffer, without blocking.
    pub(crate) fn write(&self, call: &CounterCall) -> WriteResult {
        let bytes = protocol::encode(call);
        // The lock is held while the bytes are written, so that calls are queued in the order of writing.
        let mut pending = lock_or_abort(&self.pending);
        if pending.incomplete_since.is_some_and(|since| since.elapsed() > ANSWER_TIMEOUT) {
            self.close();
            return WriteResult::Retired;
        }
        if pending.is_retired {
            return WriteResult::Retired;
        }
        if pending.call_ids.is_empty() {
            *lock_or_abort(&self.last_received) = Instant::now();
        }
        if pending.call_ids.len() >= MAX_PENDING_CALLS || self.connection.send(&bytes).is_err() {
            return WriteResult::Failed;
        }
        pending.call_ids.push_back(call.id);
        WriteResult::Written
    }

    /// Reads answers until the connection ends.
    ///
    /// Returns an error for an invalid answer. The outcome of the calls that are still unanswered is unknown then.
    pub(crate) fn read_answers(&self, on_ended: &OnCallEnded) -> Result<(), AnswerError> {
        let mut buffer = Vec::new();
        loop {
            match self.connection.receive(&mut buffer, READ_BYTES) {
                Ok(Incoming::Bytes(_)) => *lock_or_abort(&self.last_received) = Instant::now(),
                Ok(Incoming::Woken) => {}
                Ok(Incoming::End) | Err(_) => return Ok(()),
            }
            let consumed = self.match_answers(&buffer, on_ended)?;
            buffer.drain(..consumed);
            self.update_incomplete_since(consumed, !buffer.is_empty());
            if self.is_finished() {
                return Ok(());
            }
        }
    }

    /// Matches the complete answers in a buffer to the oldest calls, and returns the number of bytes consumed.
    fn match_answers(&self, buffer: &[u8], on_ended: &OnCallEnded) -> Result<usize, AnswerError> {
        let mut position = 0;
        loop {
            // Malformed bytes arrive in place of the answer to the oldest call, so the counter has received that call.
            let element =
                resp::parse_element(buffer, position).inspect_err(|_| self.fail_oldest_call(on_ended))?;
            let Some((element, next)) = element else { return Ok(position) };
            let id = lock_or_abort(&self.pending).call_ids.pop_front().ok_or(AnswerError::Unexpected)?;
            match protocol::interpret(buffer, &element) {
                Answer::Total(total) => on_ended(CallResult::ok(id, total)),
                Answer::Rejected => on_ended(CallResult::without_total(id, Outcome::Rejected)),
                Answer::Invalid => {
                    on_ended(CallResult::without_total(id, Outcome::Error));
                    return Err(AnswerError::InvalidAnswer);
                }
            }
            position = next;
        }
    }

    fn fail_oldest_call(&self, on_ended: &OnCallEnded) {
        let oldest = lock_or_abort(&self.pending).call_ids.pop_front();
        if let Some(id) = oldest {
            on_ended(CallResult::without_total(id, Outcome::Error));
        }
    }

    /// Updates the time since which an incomplete answer has been in the buffer.
    fn update_incomplete_since(&self, consumed: usize, has_incomplete: bool) {
        let mut pending = lock_or_abort(&self.pending);
        // If an answer was completed, the remaining bytes belong to a later answer.
        let since = pending.incomplete_since.filter(|_| consumed == 0);
        pending.incomplete_since = has_incomplete.then(|| since.unwrap_or_else(Instant::now));
    }

    /// Whether the connection is retired and has no unanswered calls.
    fn is_finished(&self) -> bool {
        let pending = lock_or_abort(&self.pending);
        pending.is_retired && pending.call_ids.is_empty()
    }

    /// Removes and returns the ids of the unanswered calls.
    pub(crate) fn take_pending(&self) -> VecDeque<u64> {
        std::mem::take(&mut lock_or_abort(&self.pending).call_ids)
    }
}
