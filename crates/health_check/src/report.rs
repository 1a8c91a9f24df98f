//! The report that a health check leaves.

use crate::Config;
use serde::{Deserialize, Serialize};

/// What is known about a backend after a check (postcard: the order and the types of the fields are the wire format).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// When the check was scheduled, in Unix milliseconds. It orders the reports of a backend.
    pub scheduled_unix_ms: u64,
    /// Whether the backend counts as failing.
    pub failing: bool,
    /// Results in a row that contradict this.
    pub contrary_results: u32,
    /// When the check was scheduled that last made it failing or healthy, in Unix milliseconds.
    pub changed_unix_ms: u64,
}

impl HealthReport {
    /// The report after one more check.
    pub fn after_check(before: Option<&Self>, scheduled_unix_ms: u64, passed: bool, config: &Config) -> Self {
        // A backend that nobody has checked yet counts as healthy, since its traffic may.
        let unchecked = Self {
            scheduled_unix_ms: 0,
            failing: false,
            contrary_results: 0,
            changed_unix_ms: scheduled_unix_ms,
        };
        let before = before.copied().unwrap_or(unchecked);
        let contrary = passed == before.failing;
        let contrary_results = if contrary { before.contrary_results.saturating_add(1) } else { 0 };
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

    /// Whether this very check has made the backend failing or healthy.
    pub fn has_changed(&self) -> bool {
        self.changed_unix_ms == self.scheduled_unix_ms
    }

    /// The bytes that other instances decode.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a report; `None` where the bytes are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
