//! The clock offset estimate: compares a stamp with this process's clock.

use super::stamp::{StampTime, Ticks};
use policy::Timestamp;
use std::ops::RangeInclusive;

#[cfg(test)]
mod tests;

/// Ages of a stamp that count as no offset. A stamp is advanced once a second, and clocks may differ by 0.5 s.
const TOLERANCE: RangeInclusive<Ticks> = Ticks(-5)..=Ticks(20);
/// Ages of a stamp that its timekeeper may have left behind: the counter expires a stamp after 60 s without an advance.
const POSSIBLY_STALE: RangeInclusive<Ticks> = Ticks(0)..=Ticks(620);
/// The mean age of a stamp that is advanced once a second.
const MEAN_AGE: Ticks = Ticks(5);

/// Microseconds by which this process's clock is ahead of the fleet's; negative where it is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClockOffset(i64);

impl ClockOffset {
    /// The offset in microseconds.
    pub(crate) fn as_micros(self) -> i64 {
        self.0
    }
}

/// What the age of a stamp says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// It agrees with this process's estimate of the fleet's time.
    Fresh,
    /// Its timekeeper has died, or its timekeeper's clock is behind the estimate.
    PossiblyStale,
    /// It lies in the future, or is older than a stale stamp can be: the timekeeper's clock differs from the estimate.
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

    /// The fleet's time by the present estimate.
    pub(super) fn fleet_time(&self, now: Timestamp) -> StampTime {
        StampTime::from_micros(now.as_micros() as i64 - self.offset.0)
    }

    pub(super) fn freshness(&self, now: Timestamp, stamp: StampTime) -> Freshness {
        let age = self.fleet_time(now).since(stamp);
        if TOLERANCE.contains(&age) {
            Freshness::Fresh
        } else if POSSIBLY_STALE.contains(&age) {
            Freshness::PossiblyStale
        } else {
            Freshness::OffsetClock
        }
    }

    /// Corrects the offset so that the stamp has the mean age.
    pub(super) fn adopt(&mut self, now: Timestamp, stamp: StampTime) {
        let correction = self.fleet_time(now).since(stamp) - MEAN_AGE;
        self.offset.0 += correction.as_micros();
    }
}
