//! One client's connection: its phase, and the answer that it waits for.

use exchange::FinalAnswer;
use http::Response;
use link::{Connection, locked};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// What a client connection does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Between requests.
    Idle,
    /// A request has begun to arrive.
    Reading,
    /// The exchange has the request.
    Waiting,
    /// The last bytes of an answer are being sent.
    Finishing,
}

/// One client's connection.
pub(crate) struct ClientConnection {
    pub(crate) connection: Connection,
    /// The phase, and when it began.
    phase: Mutex<(Phase, Instant)>,
    answer: Mutex<Option<FinalAnswer<Response>>>,
    /// It is to close if it is idle.
    close_if_idle: AtomicBool,
}

impl ClientConnection {
    pub(crate) fn new(connection: Connection) -> Self {
        Self {
            connection,
            phase: Mutex::new((Phase::Idle, Instant::now())),
            answer: Mutex::new(None),
            close_if_idle: AtomicBool::new(false),
        }
    }

    pub(crate) fn enter(&self, phase: Phase) {
        let mut current = locked(&self.phase);
        if current.0 != phase {
            *current = (phase, Instant::now());
        }
    }

    /// The phase, and since when it lasts.
    pub(crate) fn phase(&self) -> (Phase, Instant) {
        *locked(&self.phase)
    }

    /// Since when it is idle, if it has been for this long.
    pub(crate) fn idle_since(&self, min_idle: Duration) -> Option<Instant> {
        let (phase, since) = self.phase();
        (phase == Phase::Idle && since.elapsed() >= min_idle).then_some(since)
    }

    /// Closes it unless a request arrives first.
    pub(crate) fn request_close_if_idle(&self) {
        self.close_if_idle.store(true, Ordering::Release);
        self.connection.wake();
    }

    /// Whether it was to be closed if idle; asks once.
    pub(crate) fn take_close_if_idle(&self) -> bool {
        self.close_if_idle.swap(false, Ordering::AcqRel)
    }

    /// Delivers the final answer of the request that it waits for.
    pub(crate) fn deliver(&self, answer: FinalAnswer<Response>) {
        *locked(&self.answer) = Some(answer);
        self.connection.wake();
    }

    /// The final answer, if it has come.
    pub(crate) fn take_answer(&self) -> Option<FinalAnswer<Response>> {
        locked(&self.answer).take()
    }
}
