//! Calls to the counter: the policy's, and those of the fleet's clock.

use super::RequestTable;
use crate::fleet_clock::{FleetClock, STAMP_LIFE, STAMP_NAME};
use crate::ports::CounterCall;
use crate::side_effect::SideEffect;
use crate::timers::Timer;
use policy::{Event, Micros, Outcome, Timestamp};

/// What a call is for.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    /// A tenant's count of this name.
    Quota {
        /// The name.
        name: u64,
    },
    FleetClock,
}

/// A counter call in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightCall {
    purpose: Purpose,
    started_at: Timestamp,
}

impl<Q, A> RequestTable<Q, A> {
    fn call_counter(&mut self, now: Timestamp, purpose: Purpose, units: f64, ttl: Micros) {
        let id = self.next_counter_call;
        self.next_counter_call += 1;
        self.status.counter_calls += 1;
        self.counter_calls.insert(id, InFlightCall { purpose, started_at: now });
        self.timers.set(now + self.counter_timeout, Timer::CounterCall(id));
        let name = match purpose {
            Purpose::Quota { name } => name,
            Purpose::FleetClock => STAMP_NAME,
        };
        self.side_effects.push_back(SideEffect::CallCounter(CounterCall { id, name, units, ttl }));
    }

    pub(super) fn call_quota_counter(&mut self, now: Timestamp, name: u64, units: f64, ttl: Micros) {
        self.call_counter(now, Purpose::Quota { name }, units, ttl);
    }

    pub(crate) fn counter_call_ended(&mut self, now: Timestamp, id: u64, outcome: Outcome, total: f64) {
        let Some(InFlightCall { purpose, started_at }) = self.counter_calls.remove(&id) else { return };
        match purpose {
            Purpose::Quota { name } => {
                self.feed(now, Event::CounterReply { name, total, elapsed: now - started_at, outcome });
            }
            Purpose::FleetClock => self.fleet_clock_replied(now, outcome, total),
        }
    }

    /// Reads the fleet's clock from now on. Without other gatekeepers, or without a counter, there is none.
    pub(crate) fn start_fleet_clock(&mut self, now: Timestamp) {
        if self.counting_gatekeepers > 1 {
            self.fleet_clock = Some(FleetClock::new(self.counting_gatekeepers, self.seed, now));
            self.call_for_fleet_clock(now);
        }
    }

    /// Whether the fleet's clock has been read, or need not be.
    pub(crate) fn has_read_fleet_clock(&self) -> bool {
        self.fleet_clock.as_ref().is_none_or(FleetClock::had_reply)
    }

    /// Makes the call that is due, and sets the timer of the next one.
    pub(super) fn call_for_fleet_clock(&mut self, now: Timestamp) {
        let Some(clock) = &mut self.fleet_clock else { return };
        match (clock.start_call(now), clock.next_call_at()) {
            (Some(amount), _) => self.call_counter(now, Purpose::FleetClock, amount, STAMP_LIFE),
            (None, Some(at)) => self.timers.set(at, Timer::FleetClock),
            // The end of the call in flight sets it.
            (None, None) => {}
        }
    }

    fn fleet_clock_replied(&mut self, now: Timestamp, outcome: Outcome, total: f64) {
        let Some(clock) = &mut self.fleet_clock else { return };
        let before = clock.offset();
        clock.call_ended(now, outcome, total);
        let offset = clock.offset();
        if offset != before {
            self.policy.set_clock_offset(offset);
            self.side_effects.push_back(SideEffect::LogClockOffset(offset));
        }
        self.call_for_fleet_clock(now);
    }
}
