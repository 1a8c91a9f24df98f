//! The report of a health check.

use crate::Config;
use serde::{Deserialize, Serialize};

/// The state of a backend after a check. Gossip carries it encoded with postcard: the order and the types of the fields are
/// the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The scheduled time of the check in Unix milliseconds. It orders the reports of a backend.
    pub scheduled_unix_ms: u64,
    /// Whether the backend is failing.
    pub failing: bool,
    /// The number of consecutive results that contradict `failing`.
    pub contrary_results: u32,
    /// The scheduled time of the check that last changed `failing`, in Unix milliseconds.
    pub changed_unix_ms: u64,
}

impl HealthReport {
    /// Returns the report after another check.
    pub fn after_check(before: Option<&Self>, scheduled_unix_ms: u64, passed: bool, config: &Config) -> Self {
        // A backend without checks starts as healthy, because its traffic may show that it is.
        let unchecked = Self {
            scheduled_unix_ms: 0,
            failing: false,
            contrary_results: 0,
            changed_unix_ms: scheduled_unix_ms,
        };
        let before = before.copied().unwrap_or(unchecked);
        let is_contrary = passed == before.failing;
        let contrary_results = if is_contrary { before.contrary_results.saturating_add(1) } else { 0 };
        let threshold = if before.failing { config.healthy_threshold } else { config.unhealthy_threshold };
        if contrary_results < threshold.max(1) {
            return Self { scheduled_unix_ms, contrary_results, ..before };
        }
        Self {
            scheduled_unix_ms,
            failing: !before.failing,
            contrary_results: 0,
            changed_unix_ms: scheduled_unix_ms,
        }
    }

    /// Returns whether this check has changed `failing`.
    pub fn has_changed(&self) -> bool {
        self.changed_unix_ms == self.scheduled_unix_ms
    }

    /// Encodes the report for other instances.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a report. Returns `None` for malformed bytes.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
