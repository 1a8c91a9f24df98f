//! Moments and spans of time.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};

/// A span of time in microseconds.
pub type Micros = u64;

/// Microseconds in a second.
pub(crate) const SECOND: f64 = 1e6;

/// A moment: a reading of the caller's clock in microseconds. Zero stands for long ago, or never, where a field says so.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The earliest moment.
    pub const ZERO: Self = Self(0);
    /// A moment that never comes.
    pub const MAX: Self = Self(u64::MAX);

    /// The moment at which the clock reads this many microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// What the clock reads, in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span since an earlier moment; 0 if that lies in the future.
    pub fn saturating_since(self, earlier: Self) -> Micros {
        self.0.saturating_sub(earlier.0)
    }

    /// The span between two moments, whichever is earlier.
    pub fn abs_diff(self, other: Self) -> Micros {
        self.0.abs_diff(other.0)
    }

    /// The span since an earlier moment in seconds.
    ///
    /// # Panics
    ///
    /// `earlier` lies in the future.
    pub(crate) fn seconds_since(self, earlier: Self) -> f64 {
        (self - earlier) as f64 / SECOND
    }

    /// The moment after a span, or [`Timestamp::MAX`].
    #[must_use]
    pub fn saturating_add(self, span: Micros) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// The moment before a span, or [`Timestamp::ZERO`].
    #[must_use]
    pub fn saturating_sub(self, span: Micros) -> Self {
        Self(self.0.saturating_sub(span))
    }

    /// The moment after a span that may be negative, within the range of the clock.
    #[must_use]
    pub fn saturating_add_signed(self, offset: i64) -> Self {
        Self(self.0.saturating_add_signed(offset))
    }
}

impl Add<Micros> for Timestamp {
    type Output = Self;

    fn add(self, span: Micros) -> Self {
        Self(self.0 + span)
    }
}

impl AddAssign<Micros> for Timestamp {
    fn add_assign(&mut self, span: Micros) {
        *self = *self + span;
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
