//! The fleet's clock: a time that all gatekeepers share, and the estimate of this process's clock offset from it.
//!
//! The quota counter holds *counts*: named sums, to which gatekeepers add amounts. Gatekeepers that use the same name share the
//! count of that name. The name of a tenant's count is derived from the time, so a process whose wall clock was wrong
//! when it started would use other names, and would share no tenant's count with the other gatekeepers.
//!
//! All gatekeepers reach the quota counter, so the counter also keeps the fleet's time, in a *clock count* of a fixed name. An
//! elected gatekeeper, the *timekeeper*, adds a *stamp* to the clock count: an encoded reading of its clock. The timekeeper
//! advances the stamp to its present time each second. All other gatekeepers, the *followers*, read the stamp when they start and
//! at intervals after that, and estimate their clock offset from the stamp.
//!
//! The time in a stamp wraps around, so an offset can be determined up to half a period, 13.8 h. The estimate is only as exact as
//! the stamp is recent, so offsets of up to 2 s count as no offset.
//!
//! | module | content |
//! | --- | --- |
//! | `stamp` | the codec: stores a clock reading, and the number of stamps that were placed, in the sum of the clock count |
//! | `election` | the state machine that elects the timekeeper, with a diagram of its states |
//! | `offset` | the estimate of the clock offset, from the comparison of a stamp with this process's clock |
//! | `pacing` | intervals, jitter and backoff of the counter calls |

mod election;
mod offset;
mod pacing;
mod stamp;
#[cfg(test)]
mod tests;

pub(crate) use offset::ClockOffset;

use election::{Decision, Election, StampCall};
use offset::OffsetEstimate;
use pacing::{CallDelay, Pacing};
use policy::{Micros, Outcome, Timestamp};
use stamp::Stamp;

/// Name of the clock count, the count at the quota counter that holds the fleet's time. The name is the same at all gatekeepers.
pub(crate) const CLOCK_COUNT_NAME: u64 = 0x666c_6565_745f_7473;
/// Time until the clock count at the quota counter expires. The timekeeper then places a new stamp within a second.
pub(crate) const CLOCK_COUNT_TTL: Micros = 60_000_000;

/// A state machine without I/O that estimates the offset of this process's clock from the fleet's clock, and decides which
/// counter calls the estimate needs.
#[derive(Debug)]
pub(crate) struct FleetClock {
    election: Election,
    estimate: OffsetEstimate,
    pacing: Pacing,
    call_in_flight: Option<StampCall>,
    next_call_at: Timestamp,
    first_call_ended: bool,
}

impl FleetClock {
    /// Creates a clock with an offset of 0, whose first call to the counter is due immediately.
    pub(crate) fn new(gatekeeper_count: u32, seed: u64, now: Timestamp) -> Self {
        Self {
            election: Election::new(),
            estimate: OffsetEstimate::default(),
            pacing: Pacing::new(gatekeeper_count, seed),
            call_in_flight: None,
            next_call_at: now,
            first_call_ended: false,
        }
    }

    /// The current estimate of the offset of this process's clock from the fleet's clock.
    pub(crate) fn offset(&self) -> ClockOffset {
        self.estimate.offset()
    }

    /// Whether at least one call to the counter has ended, successfully or not.
    pub(crate) fn first_call_ended(&self) -> bool {
        self.first_call_ended
    }

    /// Time at which the fleet clock's next call to the quota counter is due; `None` while a call is in flight.
    pub(crate) fn next_call_at(&self) -> Option<Timestamp> {
        self.call_in_flight.is_none().then_some(self.next_call_at)
    }

    /// Starts the next call to the quota counter and returns the amount that the call adds to the clock count; `None` if no call
    /// is due.
    pub(crate) fn start_call(&mut self, now: Timestamp) -> Option<f64> {
        if self.call_in_flight.is_some() || now < self.next_call_at {
            return None;
        }
        let call = self.election.next_call(self.estimate.fleet_time(now));
        self.call_in_flight = Some(call);
        Some(call.amount().as_units())
    }

    /// Applies the end of the counter call in flight. `total` is the sum of the clock count after the call, valid only with
    /// [`Outcome::Ok`].
    pub(crate) fn on_call_ended(&mut self, now: Timestamp, outcome: Outcome, total: f64) {
        let Some(call) = self.call_in_flight.take() else { return };
        self.first_call_ended = true;
        let delay = match outcome {
            Outcome::Ok => self.on_reply(now, call, Stamp::decode(total)),
            _ => self.election.on_failure(call, outcome),
        };
        self.next_call_at = now + self.pacing.draw_delay(delay);
    }

    fn on_reply(&mut self, now: Timestamp, call: StampCall, stamp: Stamp) -> CallDelay {
        let freshness = self.estimate.freshness(now, stamp.time);
        match self.election.on_reply(call, stamp, freshness) {
            Decision::CallAfter(delay) => delay,
            Decision::AdoptStamp(time) => {
                self.estimate.adopt(now, time);
                CallDelay::Confirmation
            }
        }
    }
}
