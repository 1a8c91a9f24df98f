//! Flap damping of one endpoint: an endpoint that repeatedly fails and recovers is suppressed for a growing time after each recovery.

use crate::StabilityConfig;
use std::time::Duration;
use timestamps::{MonotonicTime, whole_millis};

/// Below this flap count a recovery is not suppressed: a single flap is a restart.
const FREE_FLAPS: f64 = 1.5;
/// Maximum number of doublings of the suppression time, before its configured upper bound applies.
const MAX_DOUBLINGS: f64 = 32.0;

/// Flap count with exponential decay, and the start of the present healthy period.
#[derive(Clone, Debug)]
pub(super) struct FlapDamping {
    /// Decayed number of flaps, as of `counted_at`.
    flaps: f64,
    counted_at: MonotonicTime,
    /// Start of the present healthy period; `None` while unhealthy.
    healthy_since: Option<MonotonicTime>,
}

impl FlapDamping {
    /// Starts without flaps. `healthy_since` is set if the endpoint counts as healthy already.
    pub(super) fn new(now: MonotonicTime, healthy_since: Option<MonotonicTime>) -> Self {
        Self { flaps: 0.0, counted_at: now, healthy_since }
    }

    /// Records whether the endpoint is healthy now.
    pub(super) fn update_health(&mut self, now: MonotonicTime, is_healthy: bool) {
        self.healthy_since = is_healthy.then(|| self.healthy_since.unwrap_or(now));
    }

    /// Counts a flap: the endpoint ceased to be eligible.
    pub(super) fn count_flap(&mut self, now: MonotonicTime, config: &StabilityConfig) {
        self.flaps = self.decayed_flaps(now, config) + 1.0;
        self.counted_at = now;
    }

    /// End of the suppression, which begins with the present healthy period.
    pub(super) fn suppressed_until(&self, now: MonotonicTime, config: &StabilityConfig) -> MonotonicTime {
        let healthy_since = self.healthy_since.unwrap_or(now);
        healthy_since + self.suppression(now.min(healthy_since), config)
    }

    /// Whether there were more flaps than a restart causes. The count is the one at the last flap, without decay since.
    pub(super) fn has_repeated_flaps(&self) -> bool {
        self.flaps > FREE_FLAPS
    }

    /// Suppression time of a recovery at `recovered_at`.
    fn suppression(&self, recovered_at: MonotonicTime, config: &StabilityConfig) -> Duration {
        let flaps = self.decayed_flaps(recovered_at, config);
        if flaps < FREE_FLAPS {
            return Duration::ZERO;
        }
        let doublings = (flaps - 1.0).min(MAX_DOUBLINGS).floor() - 1.0;
        let millis = whole_millis(config.flap_suppression) as f64 * 2f64.powf(doublings);
        Duration::from_millis(millis as u64).min(config.max_flap_suppression)
    }

    fn decayed_flaps(&self, now: MonotonicTime, config: &StabilityConfig) -> f64 {
        let elapsed = whole_millis(now.saturating_since(self.counted_at));
        let half_life = whole_millis(config.flap_half_life).max(1);
        self.flaps * 0.5f64.powf(elapsed as f64 / half_life as f64)
    }
}

#[cfg(test)]
mod tests;
