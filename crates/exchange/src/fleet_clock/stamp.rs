//! The stamp codec: stores the timekeeper's time and the number of placed stamps in the sum of the clock count.
//!
//! The clock count is the count at the quota counter that holds the fleet's time. The sum of the clock count has seven decimal
//! digits. The highest digit is the number of stamps that were placed, one for each timekeeper. The six lower digits hold the
//! time in ticks of 0.1 s, which wrap around after 100,000 s.

use policy::Micros;
use std::ops::{Neg, Sub};

#[cfg(test)]
mod tests;

/// One tick, the unit of a stamp's time, in microseconds.
pub(super) const TICK_MICROS: Micros = 100_000;
/// Number of ticks after which a stamp's time wraps around. To place a stamp, a process adds the stamp's time plus this period to
/// the clock count, so that the highest digit of the sum increases by one.
pub(super) const WRAP_PERIOD_TICKS: i64 = 1_000_000;

/// A signed number of ticks: the difference of two stamp times, or an amount that a call adds to the clock count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ticks(pub(super) i64);

impl Ticks {
    pub(super) const ZERO: Self = Self(0);

    pub(super) const fn as_micros(self) -> i64 {
        self.0 * TICK_MICROS as i64
    }

    /// Converts the number of ticks to the amount that a counter call adds to the clock count.
    pub(super) fn as_units(self) -> f64 {
        self.0 as f64
    }
}

impl Sub for Ticks {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl Neg for Ticks {
    type Output = Self;

    fn neg(self) -> Self {
        Self(-self.0)
    }
}

/// The clock reading that a stamp holds: ticks since 1970, modulo [`WRAP_PERIOD_TICKS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StampTime(i64);

impl StampTime {
    /// Converts a time in microseconds since 1970 to the time of a stamp.
    pub(super) fn from_micros(micros: i64) -> Self {
        Self((micros / TICK_MICROS as i64).rem_euclid(WRAP_PERIOD_TICKS))
    }

    /// Ticks from `earlier` to this time, the shorter way around the period; negative if `earlier` is later.
    pub(super) fn since(self, earlier: Self) -> Ticks {
        let ticks = (self.0 - earlier.0).rem_euclid(WRAP_PERIOD_TICKS);
        Ticks(if ticks > WRAP_PERIOD_TICKS / 2 { ticks - WRAP_PERIOD_TICKS } else { ticks })
    }

    /// The amount that places a stamp of this time in a clock count that holds no stamp, and whose sum is `residue`.
    pub(super) fn placement_amount(self, residue: Ticks) -> Ticks {
        Ticks(WRAP_PERIOD_TICKS + self.0) - residue
    }

    /// The amount that advances a stamp from the time `from` to this time; negative if the time has wrapped around since `from`.
    pub(super) fn advance_amount(self, from: Self) -> Ticks {
        Ticks(self.0 - from.0)
    }
}

/// The decoded sum of the clock count, which holds no stamp, one stamp, or several stamps that conflict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Stamp {
    /// The number of stamps that were placed: 0 without a stamp, 2 or more after a conflict.
    pub(super) placed_count: i64,
    /// The clock reading of the stamp, valid only if exactly one stamp was placed.
    pub(super) time: StampTime,
}

impl Stamp {
    /// Decodes the sum of the clock count. A sum that cannot result from a stamp has a `placed_count` other than 0 and 1.
    pub(super) fn decode(total: f64) -> Self {
        let total = if total.is_finite() { total.round() as i64 } else { -1 };
        Self {
            placed_count: total.div_euclid(WRAP_PERIOD_TICKS),
            time: StampTime(total.rem_euclid(WRAP_PERIOD_TICKS)),
        }
    }

    /// The decoded sum of a clock count that holds exactly one stamp, with this time.
    pub(super) fn single(time: StampTime) -> Self {
        Self { placed_count: 1, time }
    }

    /// The sum of the clock count that the stamp was decoded from, rounded to whole ticks.
    pub(super) fn total(self) -> Ticks {
        Ticks(self.placed_count * WRAP_PERIOD_TICKS + self.time.0)
    }
}
