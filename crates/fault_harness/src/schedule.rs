//! A fault of a schedule and its stored form.

use serde::{Deserialize, Serialize};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A fault and when it is injected. `K` is the type of the harness's kinds of faults. Stored schedules have the times in
/// milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
pub struct Fault<K> {
    /// When the fault begins, from the start of the schedule.
    #[serde(rename = "at_ms", with = "milliseconds")]
    pub start: Duration,
    /// How long the fault lasts.
    #[serde(rename = "for_ms", with = "milliseconds")]
    pub duration: Duration,
    /// What the fault affects, and how.
    #[serde(flatten)]
    pub kind: K,
}

impl<K> Fault<K> {
    /// Creates a fault of this kind.
    pub fn new(start: Duration, duration: Duration, kind: K) -> Self {
        Self { start, duration, kind }
    }

    /// Creates a fault from times in milliseconds, as in stored schedules.
    pub fn from_millis(start_ms: u64, duration_ms: u64, kind: K) -> Self {
        Self::new(Duration::from_millis(start_ms), Duration::from_millis(duration_ms), kind)
    }

    /// When the fault ends, from the start of the schedule.
    pub fn end(&self) -> Duration {
        self.start.saturating_add(self.duration)
    }
}

/// Serializes a duration as whole milliseconds.
mod milliseconds {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    pub(super) fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(span.as_millis() as u64)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}
