//! The node's monotonic clock.

use std::time::Instant;
use timestamps::MonotonicTime;

/// A clock that starts at 0 when the node starts.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { started: Instant::now() }
    }

    pub(crate) fn now(self) -> MonotonicTime {
        MonotonicTime::ZERO + self.started.elapsed()
    }
}
