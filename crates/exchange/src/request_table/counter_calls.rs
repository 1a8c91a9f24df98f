//! Calls to the quota counter, by the policy and by the fleet's clock.

use super::RequestTable;
use crate::fleet_clock::{CLOCK_COUNT_NAME, CLOCK_COUNT_TTL, FleetClock};
use crate::ports::CounterCall;
use crate::side_effect::SideEffect;
use crate::timers::Timer;
use policy::{Event, Micros, Outcome, Settings, Timestamp};
use std::collections::HashMap;

#[cfg(test)]
mod tests;

/// Which part of the gatekeeper makes a counter call, and so receives the result of the call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallPurpose {
    /// The policy adds units to a tenant's count.
    Quota {
        /// Name of the tenant's count at the quota counter.
        name: u64,
    },
    /// The fleet's clock reads or changes the clock count, which holds the fleet's time at the quota counter.
    FleetClock,
}

/// A counter call in flight, with its purpose and start time.
#[derive(Clone, Copy, Debug)]
struct InFlightCall {
    purpose: CallPurpose,
    started_at: Timestamp,
}

/// The counter calls in flight, by id.
#[derive(Debug)]
pub(super) struct CounterCalls {
    timeout: Micros,
    in_flight: HashMap<u64, InFlightCall>,
    next_id: u64,
}

impl CounterCalls {
    pub(super) fn new(timeout: Micros) -> Self {
        Self { timeout, in_flight: HashMap::new(), next_id: 0 }
    }

    /// Sets the timeout of calls that start from now on.
    pub(super) fn set_timeout(&mut self, timeout: Micros) {
        self.timeout = timeout;
    }

    /// Number of calls made so far.
    pub(super) fn call_count(&self) -> u64 {
        self.next_id
    }

    /// Records the start of a call and returns its id.
    fn start(&mut self, now: Timestamp, purpose: CallPurpose) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight.insert(id, InFlightCall { purpose, started_at: now });
        id
    }

    /// Removes a call and returns it; `None` if the call has already ended.
    fn end(&mut self, id: u64) -> Option<InFlightCall> {
        self.in_flight.remove(&id)
    }
}

/// The fleet's clock, for a gatekeeper that shares tenants' counts with others.
#[derive(Debug)]
pub(super) struct SharedClock {
    /// Number of gatekeepers that share the counter; 1 without a shared counter.
    gatekeeper_count: u32,
    seed: u64,
    /// The fleet's clock; `None` before it is started, and in a gatekeeper that needs no fleet clock.
    clock: Option<FleetClock>,
}

impl SharedClock {
    /// Creates the state of a gatekeeper whose fleet clock is not started.
    pub(super) fn new(settings: &Settings, seed: u64) -> Self {
        let gatekeeper_count = if settings.shared_counter { settings.gatekeepers } else { 1 };
        Self { gatekeeper_count, seed, clock: None }
    }

    /// Starts the fleet's clock. Has no effect on a gatekeeper that shares no counter with others.
    fn start(&mut self, now: Timestamp) {
        if self.gatekeeper_count > 1 {
            self.clock = Some(FleetClock::new(self.gatekeeper_count, self.seed, now));
        }
    }

    /// Whether the first read of the fleet's clock has ended, successfully or not. Also true if the fleet's clock was not
    /// started.
    fn has_ended_first_read(&self) -> bool {
        self.clock.as_ref().is_none_or(FleetClock::first_call_ended)
    }
}

impl<Q, A> RequestTable<Q, A> {
    fn call_counter(&mut self, now: Timestamp, purpose: CallPurpose, units: f64, ttl: Micros) {
        let id = self.counter_calls.start(now, purpose);
        self.timers.set(now + self.counter_calls.timeout, Timer::CounterCall(id));
        let name = match purpose {
            CallPurpose::Quota { name } => name,
            CallPurpose::FleetClock => CLOCK_COUNT_NAME,
        };
        self.side_effects.push(SideEffect::CallCounter(CounterCall { id, name, units, ttl }));
    }

    pub(super) fn call_quota_counter(&mut self, now: Timestamp, name: u64, units: f64, ttl: Micros) {
        self.call_counter(now, CallPurpose::Quota { name }, units, ttl);
    }

    /// Applies the end of a counter call. The end of a call that has already ended, for example by its timeout, is ignored.
    pub(crate) fn counter_call_ended(&mut self, now: Timestamp, id: u64, outcome: Outcome, total: f64) {
        let Some(InFlightCall { purpose, started_at }) = self.counter_calls.end(id) else { return };
        match purpose {
            CallPurpose::Quota { name } => {
                self.feed(now, Event::CounterReply { name, total, elapsed: now - started_at, outcome });
            }
            CallPurpose::FleetClock => self.fleet_clock_call_ended(now, outcome, total),
        }
    }

    /// Starts the estimate of the clock offset from the fleet's clock.
    pub(crate) fn start_fleet_clock(&mut self, now: Timestamp) {
        self.shared_clock.start(now);
        self.call_for_fleet_clock(now);
    }

    /// Whether the first read of the fleet's clock has succeeded or failed, or is not needed.
    pub(crate) fn has_read_fleet_clock(&self) -> bool {
        self.shared_clock.has_ended_first_read()
    }

    /// Makes the fleet clock's next counter call if the call is due, or sets a timer for the call.
    pub(super) fn call_for_fleet_clock(&mut self, now: Timestamp) {
        let Some(clock) = &mut self.shared_clock.clock else { return };
        match (clock.start_call(now), clock.next_call_at()) {
            (Some(amount), _) => self.call_counter(now, CallPurpose::FleetClock, amount, CLOCK_COUNT_TTL),
            (None, Some(next_call_at)) => self.timers.set(next_call_at, Timer::FleetClock),
            // A call is in flight. The next call is scheduled when this call ends.
            (None, None) => {}
        }
    }

    fn fleet_clock_call_ended(&mut self, now: Timestamp, outcome: Outcome, total: f64) {
        let Some(clock) = &mut self.shared_clock.clock else { return };
        let previous = clock.offset();
        clock.on_call_ended(now, outcome, total);
        let offset = clock.offset();
        if offset != previous {
            self.policy.set_clock_offset(offset.as_micros());
            self.side_effects.push(SideEffect::LogClockOffset(offset));
        }
        self.call_for_fleet_clock(now);
    }
}
