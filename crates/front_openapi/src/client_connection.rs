//! One client's connection: its phase, and the outstanding answer.

use exchange::{FinalAnswer, PendingWork};
use http::Response;
use link::{Connection, lock_or_abort};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Phase of a client connection between two requests, or in the course of one.
///
/// ```text
///            first byte             last byte              final answer
///   Idle ----------------> Reading ----------> Waiting -------------------> Finishing
///    ^                                                                          |
///    +--------------------------- client has taken the answer ------------------+
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The connection is between requests.
    Idle,
    /// A request is arriving.
    Reading,
    /// A request is in flight at the exchange.
    Waiting,
    /// The socket has not yet taken the whole answer.
    Finishing,
}

/// The current phase of a connection, and when it began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CurrentPhase {
    pub(crate) phase: Phase,
    pub(crate) since: Instant,
}

impl CurrentPhase {
    fn start(phase: Phase) -> Self {
        Self { phase, since: Instant::now() }
    }

    /// Whether the connection has been in its phase for longer than `timeout`.
    pub(crate) fn exceeds(&self, timeout: Duration) -> bool {
        self.since.elapsed() > timeout
    }
}

/// A client's connection, its phase and the answer that it waits for.
pub(crate) struct ClientConnection {
    pub(crate) connection: Connection,
    phase: Mutex<CurrentPhase>,
    answer: Mutex<Option<FinalAnswer<Response>>>,
    is_close_requested: AtomicBool,
}

impl ClientConnection {
    pub(crate) fn new(connection: Connection) -> Self {
        Self {
            connection,
            phase: Mutex::new(CurrentPhase::start(Phase::Idle)),
            answer: Mutex::new(None),
            is_close_requested: AtomicBool::new(false),
        }
    }

    /// Enters a phase that begins now. Has no effect if the connection is in this phase already.
    pub(crate) fn enter_phase(&self, phase: Phase) {
        let mut current = lock_or_abort(&self.phase);
        if current.phase != phase {
            *current = CurrentPhase::start(phase);
        }
    }

    pub(crate) fn phase(&self) -> CurrentPhase {
        *lock_or_abort(&self.phase)
    }

    /// Returns what the client still waits for; `None` between two requests, and once the socket has taken the last answer.
    pub(crate) fn pending_work(&self) -> Option<PendingWork> {
        match self.phase().phase {
            Phase::Reading => Some(PendingWork::IncompleteRequest),
            Phase::Waiting => Some(PendingWork::UnansweredRequest),
            Phase::Idle | Phase::Finishing => {
                (self.connection.unsent() > 0).then_some(PendingWork::UnsentAnswer)
            }
        }
    }

    /// Returns when the connection became idle, if it has been idle for at least `min_idle`.
    pub(crate) fn idle_since(&self, min_idle: Duration) -> Option<Instant> {
        let CurrentPhase { phase, since } = self.phase();
        (phase == Phase::Idle && since.elapsed() >= min_idle).then_some(since)
    }

    /// Asks the connection's coroutine to close the connection, unless a request arrives first.
    pub(crate) fn request_close_if_idle(&self) {
        self.is_close_requested.store(true, Ordering::Release);
        self.connection.wake();
    }

    /// Returns whether [`ClientConnection::request_close_if_idle`] was called since the last call of this method.
    pub(crate) fn take_close_request(&self) -> bool {
        self.is_close_requested.swap(false, Ordering::AcqRel)
    }

    /// Delivers the final answer to the request in flight.
    pub(crate) fn deliver(&self, answer: FinalAnswer<Response>) {
        *lock_or_abort(&self.answer) = Some(answer);
        self.connection.wake();
    }

    /// Takes the final answer, if it has been delivered.
    pub(crate) fn take_answer(&self) -> Option<FinalAnswer<Response>> {
        lock_or_abort(&self.answer).take()
    }
}
