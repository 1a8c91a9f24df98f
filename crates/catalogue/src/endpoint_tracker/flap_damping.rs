//! Flap damping of one endpoint: after each recovery, an endpoint that fails repeatedly is suppressed for an increasing time.

use crate::StabilityConfig;
use std::time::Duration;
use timestamps::{MonotonicTime, whole_millis};

/// Flap count at which flap damping begins to suppress a recovered endpoint. A single flap stays below this threshold, because
/// an ordinary restart causes one flap.
const SUPPRESSION_THRESHOLD: f64 = 1.5;
/// Maximum number of doublings of the suppression time, applied before the configured upper bound of that time.
const MAX_DOUBLINGS: f64 = 32.0;

/// Flap count with exponential decay, and the start of the current healthy period.
#[derive(Clone, Debug)]
pub(super) struct FlapDamping {
    /// Decayed number of flaps at `counted_at`.
    flap_count: f64,
    counted_at: MonotonicTime,
    /// Start of the current healthy period; `None` while the endpoint is unhealthy.
    healthy_since: Option<MonotonicTime>,
}

impl FlapDamping {
    /// Starts without flaps. `healthy_since` is the start of the current healthy period, if the endpoint is already healthy.
    pub(super) fn new(now: MonotonicTime, healthy_since: Option<MonotonicTime>) -> Self {
        Self { flap_count: 0.0, counted_at: now, healthy_since }
    }

    /// Starts or ends a healthy period if the endpoint's health has changed.
    pub(super) fn update_health(&mut self, now: MonotonicTime, is_healthy: bool) {
        self.healthy_since = is_healthy.then(|| self.healthy_since.unwrap_or(now));
    }

    /// Counts a flap, which is a change from eligible to not eligible.
    pub(super) fn count_flap(&mut self, now: MonotonicTime, config: &StabilityConfig) {
        self.flap_count = self.decayed_flaps(now, config) + 1.0;
        self.counted_at = now;
    }

    /// Returns the end of the suppression, which begins with the current healthy period.
    pub(super) fn suppressed_until(&self, now: MonotonicTime, config: &StabilityConfig) -> MonotonicTime {
        let healthy_since = self.healthy_since.unwrap_or(now);
        healthy_since + self.suppression(now.min(healthy_since), config)
    }

    /// Whether the endpoint flapped more often than in an ordinary restart. This uses the flap count at the last flap, without
    /// the decay since then.
    pub(super) fn has_repeated_flaps(&self) -> bool {
        self.flap_count > SUPPRESSION_THRESHOLD
    }

    /// Returns the duration of the suppression after a recovery at `recovered_at`.
    fn suppression(&self, recovered_at: MonotonicTime, config: &StabilityConfig) -> Duration {
        let flap_count = self.decayed_flaps(recovered_at, config);
        if flap_count < SUPPRESSION_THRESHOLD {
            return Duration::ZERO;
        }
        let doublings = (flap_count - 1.0).min(MAX_DOUBLINGS).floor() - 1.0;
        let millis = whole_millis(config.flap_suppression) as f64 * 2f64.powf(doublings);
        Duration::from_millis(millis as u64).min(config.max_flap_suppression)
    }

    fn decayed_flaps(&self, now: MonotonicTime, config: &StabilityConfig) -> f64 {
        let elapsed = whole_millis(now.saturating_since(self.counted_at));
        let half_life = whole_millis(config.flap_half_life).max(1);
        self.flap_count * 0.5f64.powf(elapsed as f64 / half_life as f64)
    }
}

#[cfg(test)]
mod tests;
