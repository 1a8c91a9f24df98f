//! The estimate of the clock offset, from the comparison of a stamp (a reading of the timekeeper's clock) with this process's
//! clock.

use super::stamp::{StampTime, Ticks};
use policy::Timestamp;
use std::ops::RangeInclusive;

#[cfg(test)]
mod tests;

/// Ages at which a stamp shows no clock offset. The timekeeper advances its stamp once a second, and clocks may differ by 0.5 s.
const FRESH_AGES: RangeInclusive<Ticks> = Ticks(-5)..=Ticks(20);
/// Ages at which a stamp may be stale because its timekeeper has died. A stale stamp cannot be much older than 60 s, since the
/// count that holds the stamp then expires at the quota counter.
const POSSIBLY_STALE_AGES: RangeInclusive<Ticks> = Ticks(0)..=Ticks(620);
/// Mean age of a stamp when a gatekeeper reads it, given that the timekeeper advances the stamp once a second.
const MEAN_STAMP_AGE: Ticks = Ticks(5);

/// The time by which this process's clock is ahead of the fleet's clock; negative if it is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClockOffset(i64);

impl ClockOffset {
    /// The offset in microseconds; negative if this process's clock is behind the fleet's clock.
    pub(crate) fn as_micros(self) -> i64 {
        self.0
    }
}

/// Whether a stamp is recent, judged by its age on the fleet's clock as this process estimates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// The stamp's age shows no clock offset: the stamp agrees with this process's estimate of the fleet's time.
    Fresh,
    /// The timekeeper has died, or its clock is behind this process's estimate of the fleet's time.
    PossiblyStale,
    /// The stamp lies in the future or is older than a stale stamp can be, so the timekeeper's clock differs from this process's
    /// estimate of the fleet's time.
    OffsetClock,
}

/// Estimates this process's clock offset from the fleet's clock.
#[derive(Debug, Default)]
pub(super) struct OffsetEstimate {
    offset: ClockOffset,
}

impl OffsetEstimate {
    pub(super) fn offset(&self) -> ClockOffset {
        self.offset
    }

    /// The fleet's time at the time `now` of this process's clock, by the current estimate of the offset.
    pub(super) fn fleet_time(&self, now: Timestamp) -> StampTime {
        StampTime::from_micros(now.as_micros() as i64 - self.offset.0)
    }

    pub(super) fn freshness(&self, now: Timestamp, stamp: StampTime) -> Freshness {
        let age = self.fleet_time(now).since(stamp);
        if FRESH_AGES.contains(&age) {
            Freshness::Fresh
        } else if POSSIBLY_STALE_AGES.contains(&age) {
            Freshness::PossiblyStale
        } else {
            Freshness::OffsetClock
        }
    }

    /// Corrects the clock offset so that the stamp, which was read just now, has the age [`MEAN_STAMP_AGE`].
    pub(super) fn adopt(&mut self, now: Timestamp, stamp: StampTime) {
        let correction = self.fleet_time(now).since(stamp) - MEAN_STAMP_AGE;
        self.offset.0 += correction.as_micros();
    }
}
