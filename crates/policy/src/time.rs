//! Points in time and durations, in microseconds.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};

/// A duration in microseconds.
pub type Micros = u64;

/// Microseconds in a second.
pub(crate) const SECOND: f64 = 1e6;

/// A point in time: a reading of the caller's clock in microseconds. Where a field documents it, zero means
/// long ago or never.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The earliest point in time.
    pub const ZERO: Self = Self(0);
    /// The latest point in time, which stands for never.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates the point in time at which the caller's clock reads this many microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The reading of the clock in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The duration since `earlier`; 0 if `earlier` is later than `self`.
    pub fn saturating_since(self, earlier: Self) -> Micros {
        self.0.saturating_sub(earlier.0)
    }

    /// The duration between two points in time, in either order.
    pub fn abs_diff(self, other: Self) -> Micros {
        self.0.abs_diff(other.0)
    }

    /// The seconds since `earlier`.
    ///
    /// # Panics
    ///
    /// Panics if `earlier` is later than `self` and overflow checks are on.
    pub(crate) fn seconds_since(self, earlier: Self) -> f64 {
        (self - earlier) as f64 / SECOND
    }

    /// The time after a duration, or [`Timestamp::MAX`] on overflow.
    #[must_use]
    pub fn saturating_add(self, duration: Micros) -> Self {
        Self(self.0.saturating_add(duration))
    }

    /// The time before a duration, or [`Timestamp::ZERO`] on underflow.
    #[must_use]
    pub fn saturating_sub(self, duration: Micros) -> Self {
        Self(self.0.saturating_sub(duration))
    }

    /// The time after an offset that may be negative, clamped to the range from [`Timestamp::ZERO`] to
    /// [`Timestamp::MAX`].
    #[must_use]
    pub fn saturating_add_signed(self, offset: i64) -> Self {
        Self(self.0.saturating_add_signed(offset))
    }
}

impl Add<Micros> for Timestamp {
    type Output = Self;

    fn add(self, duration: Micros) -> Self {
        Self(self.0 + duration)
    }
}

impl AddAssign<Micros> for Timestamp {
    fn add_assign(&mut self, duration: Micros) {
        *self = *self + duration;
    }
}

impl Sub for Timestamp {
    type Output = Micros;

    fn sub(self, earlier: Self) -> Micros {
        self.0 - earlier.0
    }
}

impl fmt::Debug for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
