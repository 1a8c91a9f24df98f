//! Moments on a monotonic clock and on the Unix clock, in milliseconds. Spans of time are [`Duration`]s.
//!
//! State machines that use these types read no clock themselves: the caller passes the current moment with each event. The two
//! clocks have separate types, so that a moment of one cannot be compared with a moment of the other.

use std::ops::Add;
use std::time::Duration;

/// Defines a type for moments that are counted in milliseconds since the start of a clock.
macro_rules! define_moment {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u64);

        impl $name {
            /// The moment at which the clock reads 0.
            pub const ZERO: Self = Self(0);
            /// A moment that is never reached; also the result of an addition that overflows.
            pub const NEVER: Self = Self(u64::MAX);

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

            /// Returns the moment that is `span` earlier, in whole milliseconds, or [`Self::ZERO`] if that would be before the
            /// start of the clock.
            pub fn saturating_sub(self, span: Duration) -> Self {
                Self(self.0.saturating_sub(whole_millis(span)))
            }
        }

        impl Add<Duration> for $name {
            type Output = Self;

            /// Returns the moment that is `span` later, without fractions of a millisecond, or [`Self::NEVER`] on overflow.
            fn add(self, span: Duration) -> Self {
                Self(self.0.saturating_add(whole_millis(span)))
            }
        }
    };
}

define_moment! {
    /// A moment of Unix time, in milliseconds since 1970. An adjustment of the wall clock moves the current moment forwards or
    /// backwards.
    UnixTime
}

define_moment! {
    /// A moment on a monotonic clock, which adjustments of the wall clock do not affect. The caller sets its zero point.
    MonotonicTime
}

/// Returns a span in milliseconds, rounded down, and at most `u64::MAX`.
pub fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
