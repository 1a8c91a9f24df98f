//! The pacing of counter calls: intervals, jitter and backoff.

use policy::Micros;

#[cfg(test)]
mod tests;

/// Interval at which the timekeeper advances the stamp.
const ADVANCE_INTERVAL: Micros = 1_000_000;
/// Base of the mean interval at which a follower reads the stamp.
const READ_INTERVAL: Micros = 20_000_000;
/// Increase of the mean interval between reads for each gatekeeper of the fleet, which bounds the call rate of all gatekeepers.
const READ_INTERVAL_PER_GATEKEEPER: Micros = 200_000;
/// Minimum delay of a read that confirms a stamp. By then a timekeeper that is alive has advanced it.
const CONFIRMATION_INTERVAL: Micros = 1_200_000;
/// Maximum jitter of a read that confirms a stamp, in a fleet of fewer than [`GATEKEEPERS_PER_JITTER_GROUP`] gatekeepers.
const CONFIRMATION_JITTER: Micros = 400_000;
/// Maximum jitter before a counter without a stamp is read again, in a fleet of fewer than [`GATEKEEPERS_PER_JITTER_GROUP`]
/// gatekeepers.
const VACANCY_JITTER: Micros = 1_000_000;
/// Maximum backoff after a failed call or a conflict, in a fleet of fewer than [`GATEKEEPERS_PER_JITTER_GROUP`] gatekeepers. The
/// minimum is half of the maximum.
const MAX_BACKOFF: Micros = 1_000_000;
/// The maximum jitter of a small fleet is added once more for each full group of this many gatekeepers.
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
    /// A stamp is read again to see whether it makes progress.
    Confirmation,
    /// The counter holds no stamp, and is read once more before this process places a stamp.
    Vacancy,
    /// A call failed, or several processes had placed or advanced a stamp.
    Backoff,
}

/// Draws the delays between calls.
#[derive(Debug)]
pub(super) struct Pacing {
    gatekeepers: u64,
    random: fastrand::Rng,
}

impl Pacing {
    pub(super) fn new(gatekeepers: u32, seed: u64) -> Self {
        Self { gatekeepers: u64::from(gatekeepers), random: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the time until the next call, at random where the delay has a range.
    pub(super) fn draw(&mut self, delay: CallDelay) -> Micros {
        match delay {
            CallDelay::None => 0,
            CallDelay::Advance => ADVANCE_INTERVAL,
            CallDelay::FollowerRead => {
                let interval = READ_INTERVAL + READ_INTERVAL_PER_GATEKEEPER * self.gatekeepers;
                interval / 2 + self.random.u64(..interval)
            }
            CallDelay::Confirmation => CONFIRMATION_INTERVAL + self.jitter(CONFIRMATION_JITTER),
            CallDelay::Vacancy => self.jitter(VACANCY_JITTER),
            CallDelay::Backoff => MAX_BACKOFF / 2 + self.jitter(MAX_BACKOFF / 2),
        }
    }

    /// A random delay below `max`, which is raised with the number of gatekeepers so that gatekeepers do not all call at once.
    fn jitter(&mut self, max: Micros) -> Micros {
        self.random.u64(..max * (1 + self.gatekeepers / GATEKEEPERS_PER_JITTER_GROUP))
    }
}
