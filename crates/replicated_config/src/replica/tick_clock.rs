//! The clock of the Raft library, which counts ticks.

/// Time between two ticks of the Raft library.
const TICK_MS: u64 = 50;
/// Maximum number of ticks to catch up on after a pause. It suffices for a replica to stand for election.
const MAX_CATCH_UP_TICKS: u64 = 64;

/// Converts the node's clock into ticks.
pub(super) struct TickClock {
    last_tick_ms: u64,
}

impl TickClock {
    /// Creates a clock whose first tick is due one tick after `now_ms`.
    pub(super) fn new(now_ms: u64) -> Self {
        Self { last_tick_ms: now_ms }
    }

    /// Returns when the next tick is due.
    pub(super) fn next_tick_ms(&self) -> u64 {
        self.last_tick_ms + TICK_MS
    }

    /// Advances the clock. Returns the number of ticks to run.
    pub(super) fn advance(&mut self, now_ms: u64) -> u64 {
        let ticks = now_ms.saturating_sub(self.last_tick_ms) / TICK_MS;
        self.last_tick_ms += ticks * TICK_MS;
        ticks.min(MAX_CATCH_UP_TICKS)
    }
}

#[cfg(test)]
mod tests;
