//! A connection to the counter: it pipelines calls and matches answers to them in order.

use crate::error::AnswerError;
use crate::protocol::{self, Answer};
use exchange::CounterCall;
use link::{Connection, Incoming, locked};
use policy::Outcome;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Called at the end of a call, with its id, its outcome and the count's total (0 where the outcome is not [`Outcome::Ok`]).
pub type CallEnded = Box<dyn Fn(u64, Outcome, f64) + Send + Sync>;

/// Calls that may be unanswered on one connection, or wait for one that is being opened.
pub(crate) const MAX_PENDING_CALLS: usize = 256;
/// A connection with unanswered calls that was silent for so long counts as dead: a network that was cut says nothing.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// An answer is a few bytes and comes in one piece: one that is incomplete after this will never be complete.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Bytes that are read at once.
const READ_BYTES: usize = 4096;

/// A connection to the counter.
pub(crate) struct CounterConnection {
    connection: Connection,
    pending: Mutex<PendingCalls>,
    last_received: Mutex<Instant>,
}

/// The calls that were written and are not answered.
#[derive(Default)]
struct PendingCalls {
    /// Their ids, the oldest first.
    ids: VecDeque<u64>,
    /// Since when an incomplete answer is here.
    incomplete_since: Option<Instant>,
    /// The counter has another address now: no more calls are written, and the connection ends with the last answer.
    retired: bool,
}

/// What became of a call that was to be written.
pub(crate) enum WriteResult {
    /// It was written.
    Written,
    /// Nothing of it was written, so nothing was added.
    Failed,
    /// Nothing of it was written, and another connection must carry it.
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

    /// Lets no more calls be written. [`CounterConnection::wake`] ends a connection that has none unanswered.
    pub(crate) fn retire(&self) {
        locked(&self.pending).retired = true;
    }

    /// Wakes the reader, so that it looks whether the connection is to end.
    pub(crate) fn wake(&self) {
        self.connection.wake();
    }

    /// Closes the connection where calls are unanswered and nothing was received for too long.
    pub(crate) fn close_if_silent(&self) {
        let has_pending = !locked(&self.pending).ids.is_empty();
        if has_pending && locked(&self.last_received).elapsed() > SILENCE_TIMEOUT {
            self.close();
        }
    }

    /// Writes a call.
    pub(crate) fn write(&self, call: &CounterCall) -> WriteResult {
        let bytes = protocol::encode(call);
        // Held while the bytes go out: calls must be queued in the order in which they are written.
        let mut pending = locked(&self.pending);
        if pending.incomplete_since.is_some_and(|since| since.elapsed() > ANSWER_TIMEOUT) {
            self.close();
            return WriteResult::Retired;
        }
        if pending.retired {
            return WriteResult::Retired;
        }
        if pending.ids.is_empty() {
            *locked(&self.last_received) = Instant::now();
        }
        if pending.ids.len() >= MAX_PENDING_CALLS || self.connection.send(&bytes).is_err() {
            return WriteResult::Failed;
        }
        pending.ids.push_back(call.id);
        WriteResult::Written
    }

    /// Reads answers until the connection ends, or one cannot be used: what became of the calls behind it is not known then.
    pub(crate) fn read_answers(&self, on_ended: &CallEnded) -> Result<(), AnswerError> {
        let mut buffer = Vec::new();
        loop {
            match self.connection.receive(&mut buffer, READ_BYTES) {
                Ok(Incoming::Bytes(_)) => *locked(&self.last_received) = Instant::now(),
                Ok(Incoming::Woken) => {}
                Ok(Incoming::End) | Err(_) => return Ok(()),
            }
            let consumed = self.take_answers(&buffer, on_ended)?;
            buffer.drain(..consumed);
            if self.is_finished(consumed, !buffer.is_empty()) {
                return Ok(());
            }
        }
    }

    /// Matches the complete answers in a buffer to the oldest calls. Returns how many bytes they take.
    fn take_answers(&self, buffer: &[u8], on_ended: &CallEnded) -> Result<usize, AnswerError> {
        let mut position = 0;
        loop {
            // Malformed bytes stand where the oldest call's answer should: the counter has had that call.
            let element = resp::element(buffer, position).inspect_err(|_| self.fail_oldest_call(on_ended))?;
            let Some((element, next)) = element else { return Ok(position) };
            let id = locked(&self.pending).ids.pop_front().ok_or(AnswerError::Unexpected)?;
            match protocol::interpret(buffer, &element) {
                Answer::Total(total) => on_ended(id, Outcome::Ok, total),
                Answer::Rejected => on_ended(id, Outcome::Rejected, 0.0),
                Answer::Unreadable => {
                    on_ended(id, Outcome::Error, 0.0);
                    return Err(AnswerError::UnknownForm);
                }
            }
            position = next;
        }
    }

    fn fail_oldest_call(&self, on_ended: &CallEnded) {
        let oldest = locked(&self.pending).ids.pop_front();
        if let Some(id) = oldest {
            on_ended(id, Outcome::Error, 0.0);
        }
    }

    /// Notes since when an incomplete answer is here. Returns whether the connection is retired and has no unanswered call.
    fn is_finished(&self, consumed: usize, has_incomplete: bool) -> bool {
        let mut pending = locked(&self.pending);
        // Where an answer was completed, what is left belongs to a later one.
        let since = pending.incomplete_since.filter(|_| consumed == 0);
        pending.incomplete_since = has_incomplete.then(|| since.unwrap_or_else(Instant::now));
        pending.retired && pending.ids.is_empty()
    }

    /// Takes the ids of the unanswered calls.
    pub(crate) fn take_pending(&self) -> VecDeque<u64> {
        std::mem::take(&mut locked(&self.pending).ids)
    }
}
