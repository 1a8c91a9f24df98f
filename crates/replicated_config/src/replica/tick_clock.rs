//! The clock of the Raft library, which counts ticks.

use std::time::Duration;
use timestamps::{MonotonicTime, whole_millis};

/// Time between two ticks of the Raft library.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of ticks to catch up on after a pause. It suffices for a replica to stand for election.
const MAX_CATCH_UP_TICKS: u64 = 64;

/// Converts the node's clock into ticks.
pub(super) struct TickClock {
    last_tick_at: MonotonicTime,
}

impl TickClock {
    /// Creates a clock whose first tick is due one tick after `now`.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self { last_tick_at: now }
    }

    /// Returns when the next tick is due.
    pub(super) fn next_tick_at(&self) -> MonotonicTime {
        self.last_tick_at + TICK_INTERVAL
    }

    /// Advances the clock. Returns the number of ticks to run.
    pub(super) fn advance(&mut self, now: MonotonicTime) -> u64 {
        let interval_ms = whole_millis(TICK_INTERVAL);
        let ticks = whole_millis(now.saturating_since(self.last_tick_at)) / interval_ms;
        self.last_tick_at = self.last_tick_at + Duration::from_millis(ticks * interval_ms);
        ticks.min(MAX_CATCH_UP_TICKS)
    }
}

#[cfg(test)]
mod tests;
