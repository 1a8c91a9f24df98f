//! Moments of the watch's monotonic clock. Spans of time are [`Duration`]s.

use std::ops::Add;
use std::time::Duration;

/// Milliseconds since the Unix epoch, as stored in the cache file and in the metadata of instances.
pub type UnixMillis = u64;

/// A moment of a monotonic clock, with a resolution of one millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A moment that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The moment this many milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// The time since `earlier`; zero if `earlier` is later.
    pub fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    /// Fractions of a millisecond are dropped.
    fn add(self, span: Duration) -> Self {
        Self(self.0 + whole_millis(span))
    }
}

/// The whole milliseconds of a span.
pub(crate) fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
