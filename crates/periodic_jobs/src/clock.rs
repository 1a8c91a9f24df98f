//! Moments on the two clocks of an instance.

use job_lease::RunId;
use std::ops::Add;
use std::time::Duration;

/// Defines a moment that is counted in milliseconds.
macro_rules! define_moment {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(u64);

        impl $name {
            /// Returns the moment at which the clock reads this many milliseconds.
            pub const fn from_millis(millis: u64) -> Self {
                Self(millis)
            }

            /// Returns the reading of the clock in milliseconds.
            pub const fn as_millis(self) -> u64 {
                self.0
            }

            /// Returns the time since an earlier moment, or zero if `earlier` is later.
            pub fn saturating_since(self, earlier: Self) -> Duration {
                Duration::from_millis(self.0.saturating_sub(earlier.0))
            }

            /// Returns the moment this much earlier, but not before the start of the clock.
            pub fn saturating_sub(self, span: Duration) -> Self {
                Self(self.0.saturating_sub(as_millis(span)))
            }
        }

        impl Add<Duration> for $name {
            type Output = Self;

            fn add(self, span: Duration) -> Self {
                Self(self.0 + as_millis(span))
            }
        }
    };
}

define_moment! {
    /// A moment of Unix time in milliseconds. Runs are identified by it. Its clock may be stepped.
    UnixTime
}

define_moment! {
    /// A moment on the monotonic clock of an instance in milliseconds.
    MonotonicTime
}

impl From<RunId> for UnixTime {
    /// Returns the scheduled time of a run.
    fn from(run: RunId) -> Self {
        Self(run.scheduled_unix_ms())
    }
}

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

/// Converts a span of time to whole milliseconds.
pub(crate) fn as_millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
