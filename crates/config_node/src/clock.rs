//! The node's monotonic clock.

use std::time::Instant;
use timestamps::MonotonicTime;

/// A clock that starts when the node does.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at 0.
    pub(crate) fn start() -> Self {
        Self { started: Instant::now() }
    }

    pub(crate) fn now(self) -> MonotonicTime {
        MonotonicTime::ZERO + self.started.elapsed()
    }
}
