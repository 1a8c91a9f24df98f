//! The node's monotonic clock.

use std::time::Instant;

/// Measures time in milliseconds since the node was started.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at 0.
    pub(crate) fn start() -> Self {
        Self { started: Instant::now() }
    }

    pub(crate) fn now_ms(self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
