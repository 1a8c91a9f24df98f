//! Converts time to the ticks that the Raft library counts.

use std::time::Duration;
use timestamps::{MonotonicTime, whole_millis};

/// Time between two ticks of the Raft library.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of ticks to run after a pause: more than each replica's election timeout.
const MAX_CATCH_UP_TICKS: u64 = 64;

/// Counts the ticks that are due by the node's clock.
pub(super) struct TickClock {
    last_tick_at: MonotonicTime,
}

impl TickClock {
    /// Creates a clock whose first tick is due one tick after `now`.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self { last_tick_at: now }
    }

    /// Returns the time of the node's clock at which the next tick of the Raft library is due.
    pub(super) fn next_tick_at(&self) -> MonotonicTime {
        self.last_tick_at + TICK_INTERVAL
    }

    /// Advances the clock to `now`. Returns the number of ticks to run, at most [`MAX_CATCH_UP_TICKS`].
    pub(super) fn advance(&mut self, now: MonotonicTime) -> u64 {
        let interval_ms = whole_millis(TICK_INTERVAL);
        let ticks = whole_millis(now.saturating_since(self.last_tick_at)) / interval_ms;
        self.last_tick_at = self.last_tick_at + Duration::from_millis(ticks * interval_ms);
        ticks.min(MAX_CATCH_UP_TICKS)
    }
}

#[cfg(test)]
mod tests;
