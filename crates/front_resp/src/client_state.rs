//! The activity of a client's connection, from which its timeouts follow.
//!
//! ```text
//!            first byte              last byte
//!   idle ---------------> reading ---------------> in use --+
//!    ^                                                      | last answer written
//!    +------------------------------------------------------+
//!    |
//!    | `end`, from any state: nothing more is read
//!    v
//!   ending ---- last answer written ----> lingering, until the client has read it or LINGER_TIMEOUT
//! ```

use crate::answer_queue::AnswerQueue;
use crate::incomplete_command::IncompleteCommand;
use crate::limits::{COMMAND_TIMEOUT, FIRST_COMMAND_TIMEOUT, IDLE_TIMEOUT, UNUSED_TIMEOUT};
use crate::memory::Reservation;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// The state of one client's connection, behind one lock.
pub(crate) struct ClientState {
    /// Pipelined commands and their answers.
    pub(crate) answers: AnswerQueue,
    /// The command at the end of the input, of which only a part has arrived, if there is one.
    pub(crate) incomplete_command: IncompleteCommand,
    /// Bytes of answers that the client had not read at the last check.
    pub(crate) unread_reservation: Reservation,
    /// When the answer queue last became empty.
    idle_since: Instant,
    had_valid_command: bool,
    had_request: bool,
    is_ending: bool,
    is_eviction_requested: bool,
}

impl ClientState {
    pub(crate) fn new(incomplete_reservation: Reservation, unread_reservation: Reservation) -> Self {
        Self {
            answers: AnswerQueue::default(),
            incomplete_command: IncompleteCommand::new(incomplete_reservation),
            unread_reservation,
            idle_since: Instant::now(),
            had_valid_command: false,
            had_request: false,
            is_ending: false,
            is_eviction_requested: false,
        }
    }

    /// Records that the client has sent a valid command other than a request.
    pub(crate) fn record_valid_command(&mut self) {
        self.had_valid_command = true;
    }

    /// Records that the client has sent a request.
    pub(crate) fn record_request(&mut self) {
        self.had_valid_command = true;
        self.had_request = true;
    }

    /// Records that the last answer was written.
    pub(crate) fn record_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Stops reading commands. The connection ends after the last answer.
    pub(crate) fn end(&mut self) {
        self.is_ending = true;
        self.incomplete_command.clear();
        self.record_idle();
    }

    /// Whether [`ClientState::end`] was called.
    pub(crate) fn is_ending(&self) -> bool {
        self.is_ending
    }

    /// Time that the client has had to read the last answer of an ending connection; `None` before that answer is written.
    pub(crate) fn lingering_for(&self) -> Option<Duration> {
        (self.is_ending && self.answers.is_empty()).then(|| self.idle_since.elapsed())
    }

    /// Whether the incomplete command has exceeded its timeout.
    pub(crate) fn is_command_overdue(&self) -> bool {
        let is_first_overdue = !self.had_valid_command && self.idle_since.elapsed() >= FIRST_COMMAND_TIMEOUT;
        self.incomplete_command.age().is_some_and(|age| age >= COMMAND_TIMEOUT || is_first_overdue)
    }

    /// Time since the last answer was written, if no command waits for its answer or is incomplete.
    fn idle_time(&self) -> Option<Duration> {
        (self.answers.is_empty() && !self.incomplete_command.is_pending()).then(|| self.idle_since.elapsed())
    }

    /// Idle time of the connection, if this time is long enough for an eviction. A shorter time suffices if the client has sent
    /// no request yet.
    pub(crate) fn evictable_for(&self) -> Option<Duration> {
        let timeout = if self.had_request { IDLE_TIMEOUT } else { UNUSED_TIMEOUT };
        self.idle_time().filter(|&idle| idle >= timeout)
    }

    /// Whether the connection has exceeded the idle timeout without ever receiving a valid command.
    pub(crate) fn is_silent(&self) -> bool {
        !self.had_valid_command && self.idle_time().is_some_and(|idle| idle >= IDLE_TIMEOUT)
    }

    /// Asks the reader to close the connection if it is still evictable when nothing is left to read.
    pub(crate) fn request_eviction(&mut self) {
        self.is_eviction_requested = true;
    }

    /// Clears the eviction request. Returns whether an eviction was requested and the connection is still evictable.
    pub(crate) fn take_eviction(&mut self) -> bool {
        std::mem::take(&mut self.is_eviction_requested) && self.evictable_for().is_some()
    }
}
