//! Moments on a monotonic clock and on the Unix clock, in milliseconds. Spans of time are [`Duration`]s.
//!
//! The state machines above read no clock: their drivers pass the moment with each event. A moment of one clock cannot be
//! compared with a moment of the other.

use std::ops::Add;
use std::time::Duration;

/// Defines a moment that is counted in milliseconds.
macro_rules! define_moment {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u64);

        impl $name {
            /// The start of the clock.
            pub const ZERO: Self = Self(0);
            /// A moment that is never reached.
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

            /// Returns the moment this much earlier, but not before the start of the clock.
            pub fn saturating_sub(self, span: Duration) -> Self {
                Self(self.0.saturating_sub(whole_millis(span)))
            }
        }

        impl Add<Duration> for $name {
            type Output = Self;

            /// Drops fractions of a millisecond. A sum beyond the range of the clock is [`Self::NEVER`].
            fn add(self, span: Duration) -> Self {
                Self(self.0.saturating_add(whole_millis(span)))
            }
        }
    };
}

define_moment! {
    /// A moment of Unix time. Its clock may be stepped.
    UnixTime
}

define_moment! {
    /// A moment on a monotonic clock, which no step of the wall clock moves.
    MonotonicTime
}

/// Returns the whole milliseconds of a span.
pub fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
