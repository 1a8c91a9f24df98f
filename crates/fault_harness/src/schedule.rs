//! The faults of a schedule.

use serde::{Deserialize, Serialize};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A fault and when it is injected. `K` is what a harness can do. In files the times are milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
pub struct Fault<K> {
    /// When it begins, from the begin of the schedule.
    #[serde(rename = "at_ms", with = "milliseconds")]
    pub start: Duration,
    /// For how long it is held.
    #[serde(rename = "for_ms", with = "milliseconds")]
    pub duration: Duration,
    /// Its kind.
    #[serde(flatten)]
    pub kind: K,
}

impl<K> Fault<K> {
    /// A fault of this kind.
    pub fn new(start: Duration, duration: Duration, kind: K) -> Self {
        Self { start, duration, kind }
    }

    /// The same from milliseconds, as schedules are written down.
    pub fn from_millis(start_ms: u64, duration_ms: u64, kind: K) -> Self {
        Self::new(Duration::from_millis(start_ms), Duration::from_millis(duration_ms), kind)
    }

    /// When it ends.
    pub fn end(&self) -> Duration {
        self.start.saturating_add(self.duration)
    }
}

/// Spans of time as whole milliseconds.
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
