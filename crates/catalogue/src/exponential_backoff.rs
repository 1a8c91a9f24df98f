//! Exponential backoff after consecutive failures, without jitter.

use std::time::Duration;

/// Initial and maximum delay of an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExponentialBackoff {
    /// Backoff after the first failure. The backoff doubles with each further consecutive failure.
    pub initial: Duration,
    /// Upper bound of the backoff. A bound below one millisecond has the effect of one millisecond.
    pub max: Duration,
}

impl ExponentialBackoff {
    /// Returns the backoff after a failure that follows `earlier_failures` consecutive ones, at least one millisecond.
    pub(crate) fn after(self, earlier_failures: u32) -> Duration {
        const MAX_DOUBLINGS: u32 = 16;
        const MIN_BACKOFF: Duration = Duration::from_millis(1);
        let doublings = earlier_failures.min(MAX_DOUBLINGS);
        (self.initial * 2u32.pow(doublings)).min(self.max).max(MIN_BACKOFF)
    }
}

#[cfg(test)]
mod tests;
