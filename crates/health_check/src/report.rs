//! The report of a health check, which instances exchange.

use crate::Config;
use serde::{Deserialize, Serialize};
use timestamps::UnixTime;

/// The state of a backend after a check. Gossip carries it encoded with postcard: the order of the fields and their
/// encodings are the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The time for which the check was scheduled, by which the reports of a backend are ordered.
    #[serde(with = "unix_millis")]
    pub scheduled_at: UnixTime,
    /// Whether the backend counts as failing by the thresholds. The result of this check may differ.
    pub failing: bool,
    /// The number of the newest consecutive check results that contradict `failing`.
    pub contrary_results: u32,
    /// The scheduled time of the check that last changed `failing`, or of the first check if `failing` has never changed.
    #[serde(with = "unix_millis")]
    pub changed_at: UnixTime,
}

impl HealthReport {
    /// Returns the report that follows `before` after another check. `before` is `None` for the first check of a backend.
    pub fn after_check(before: Option<&Self>, scheduled_at: UnixTime, passed: bool, config: &Config) -> Self {
        // A backend counts as healthy before its first check, because its traffic may already show that it is healthy.
        let unchecked = Self {
            scheduled_at: UnixTime::ZERO,
            failing: false,
            contrary_results: 0,
            changed_at: scheduled_at,
        };
        let before = before.copied().unwrap_or(unchecked);
        let is_contrary = passed == before.failing;
        let contrary_results = if is_contrary { before.contrary_results.saturating_add(1) } else { 0 };
        let threshold = if before.failing { config.healthy_threshold } else { config.unhealthy_threshold };
        if contrary_results < threshold.max(1) {
            return Self { scheduled_at, contrary_results, ..before };
        }
        Self { scheduled_at, failing: !before.failing, contrary_results: 0, changed_at: scheduled_at }
    }

    /// Returns whether the check of this report changed `failing`. Also true for the first report of a backend.
    pub fn has_changed(&self) -> bool {
        self.changed_at == self.scheduled_at
    }

    /// Encodes the report as the body of a gossip broadcast.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a report. Returns `None` for malformed bytes.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Encodes a moment as the number of milliseconds since the Unix epoch.
mod unix_millis {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use timestamps::UnixTime;

    pub(super) fn serialize<S: Serializer>(moment: &UnixTime, serializer: S) -> Result<S::Ok, S::Error> {
        moment.as_millis().serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<UnixTime, D::Error> {
        u64::deserialize(deserializer).map(UnixTime::from_millis)
    }
}
