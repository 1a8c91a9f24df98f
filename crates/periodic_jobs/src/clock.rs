//! Readings of the two clocks of an instance.

use std::ops::Add;
use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime, whole_millis};

/// A point in time, read on both clocks of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The time on the Unix clock, which may be stepped in either direction.
    pub unix: UnixTime,
    /// The time on the monotonic clock, which never decreases and is comparable only within one process.
    pub monotonic: MonotonicTime,
}

impl ClockReading {
    /// Returns by how many milliseconds the Unix clock was stepped since an earlier reading, relative to the monotonic clock.
    /// Negative for a step backwards.
    pub(crate) fn unix_step_ms_since(self, earlier: Self) -> i64 {
        let unix_elapsed_ms = self.unix.as_millis() as i64 - earlier.unix.as_millis() as i64;
        let monotonic_elapsed = self.monotonic.saturating_since(earlier.monotonic);
        unix_elapsed_ms - whole_millis(monotonic_elapsed) as i64
    }
}

impl Add<Duration> for ClockReading {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self { unix: self.unix + duration, monotonic: self.monotonic + duration }
    }
}
