//! A token bucket that checkers charge with units that were already admitted.

use std::time::Duration;

/// A token bucket that is charged for admitted units. A level below 0 is the excess over its rate and burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    units_per_second: f64,
    burst: f64,
    level: f64,
    updated: Duration,
}

impl TokenBucket {
    /// Creates a bucket that is full at time `at`.
    pub fn full(units_per_second: f64, burst: f64, at: Duration) -> Self {
        Self { units_per_second, burst, level: burst, updated: at }
    }

    /// Refills the bucket up to time `at`, takes units from it, and returns its level. Must not be called with an earlier time
    /// than before.
    pub fn take(&mut self, units: f64, at: Duration) -> f64 {
        let refill = self.units_per_second * (at - self.updated).as_secs_f64();
        self.level = (self.level + refill).min(self.burst) - units;
        self.updated = at;
        self.level
    }
}
