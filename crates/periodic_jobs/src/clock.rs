//! Readings of the two clocks of an instance.

use std::ops::Add;
use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime};

/// A moment on both clocks of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The moment on the Unix clock.
    pub unix: UnixTime,
    /// The moment on the monotonic clock.
    pub monotonic: MonotonicTime,
}

impl Add<Duration> for ClockReading {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self { unix: self.unix + span, monotonic: self.monotonic + span }
    }
}
