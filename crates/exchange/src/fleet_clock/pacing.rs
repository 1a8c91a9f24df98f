//! The pacing of the calls that read or advance the fleet's time at the quota counter: intervals, jitter and backoff.

use policy::Micros;

#[cfg(test)]
mod tests;

/// Interval at which the timekeeper advances its stamp (the fleet's time at the quota counter) to its present time.
const ADVANCE_INTERVAL: Micros = 1_000_000;
/// Mean interval at which a follower reads the timekeeper's stamp, before [`READ_INTERVAL_PER_GATEKEEPER`] is added.
const BASE_READ_INTERVAL: Micros = 20_000_000;
/// Increase of the mean interval between a follower's reads for each gatekeeper of the fleet. The increase bounds the call rate
/// of all gatekeepers together.
const READ_INTERVAL_PER_GATEKEEPER: Micros = 200_000;
/// Minimum delay of a read that confirms a stamp. A timekeeper that is alive has advanced the stamp after this delay.
const CONFIRMATION_INTERVAL: Micros = 1_200_000;
/// Maximum jitter of a read that confirms a stamp, in a fleet of fewer than [`GATEKEEPERS_PER_JITTER_GROUP`] gatekeepers.
const CONFIRMATION_JITTER: Micros = 400_000;
/// Maximum jitter of the second read after a read that found no stamp, in a fleet of fewer than
/// [`GATEKEEPERS_PER_JITTER_GROUP`] gatekeepers.
const VACANCY_JITTER: Micros = 1_000_000;
/// Maximum backoff after a failed call or a conflict, in a fleet of fewer than [`GATEKEEPERS_PER_JITTER_GROUP`] gatekeepers. The
/// minimum is half of the maximum.
const MAX_BACKOFF: Micros = 1_000_000;
/// For each full group of this many gatekeepers, the maximum jitter of a small fleet is added once more.
const GATEKEEPERS_PER_JITTER_GROUP: u64 = 50;

/// The reason for the delay of the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallDelay {
    /// No delay: the next call is due immediately.
    None,
    /// The timekeeper advances the stamp again after a fixed interval.
    Advance,
    /// A follower has read a fresh stamp, and reads the stamp again after the read interval.
    FollowerRead,
    /// A process reads a stamp again to see whether a timekeeper still advances the stamp.
    Confirmation,
    /// A read found no stamp. The process reads once more before it places its own stamp.
    Vacancy,
    /// A call failed, or several processes had placed or advanced a stamp.
    Backoff,
}

/// Draws the random delays between the fleet clock's calls to the quota counter.
#[derive(Debug)]
pub(super) struct Pacing {
    gatekeeper_count: u64,
    random: fastrand::Rng,
}

impl Pacing {
    pub(super) fn new(gatekeeper_count: u32, seed: u64) -> Self {
        Self { gatekeeper_count: u64::from(gatekeeper_count), random: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the time until the next call, at random where the delay has a range.
    pub(super) fn draw_delay(&mut self, delay: CallDelay) -> Micros {
        match delay {
            CallDelay::None => 0,
            CallDelay::Advance => ADVANCE_INTERVAL,
            CallDelay::FollowerRead => {
                let interval = BASE_READ_INTERVAL + READ_INTERVAL_PER_GATEKEEPER * self.gatekeeper_count;
                interval / 2 + self.random.u64(..interval)
            }
            CallDelay::Confirmation => CONFIRMATION_INTERVAL + self.jitter(CONFIRMATION_JITTER),
            CallDelay::Vacancy => self.jitter(VACANCY_JITTER),
            CallDelay::Backoff => MAX_BACKOFF / 2 + self.jitter(MAX_BACKOFF / 2),
        }
    }

    /// A random delay below `max`, which is raised with the number of gatekeepers so that gatekeepers do not all call at once.
    fn jitter(&mut self, max: Micros) -> Micros {
        self.random.u64(..max * (1 + self.gatekeeper_count / GATEKEEPERS_PER_JITTER_GROUP))
    }
}
