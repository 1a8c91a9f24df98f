//! A queue of timers by expiry, and the scheduling of wake-ups of the timer thread.

use crate::request::AttemptId;
use policy::{Micros, RequestId, Timestamp};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[cfg(test)]
mod tests;

/// What happens when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The policy gets a timer event with the token that it set the timer with.
    Policy(u64),
    /// The deadline of a request passes.
    Deadline(RequestId),
    /// The time for the answer to an attempt ends.
    Attempt(AttemptId),
    /// The time ends within which an attempt must be written to its backend.
    WriteDeadline(AttemptId),
    /// The time for the answer to a counter call ends.
    CounterCall(u64),
    /// The next counter call of the fleet's clock is due.
    FleetClock,
}

/// A timer in the heap. Timers that expire at the same time run in the order in which they were set.
#[derive(Debug)]
struct ScheduledTimer {
    expires_at: Timestamp,
    serial: u64,
    timer: Timer,
}

impl ScheduledTimer {
    fn key(&self) -> (Timestamp, u64) {
        (self.expires_at, self.serial)
    }
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ScheduledTimer {}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledTimer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// A queue of timers, earliest first.
#[derive(Debug)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<ScheduledTimer>>,
    last_serial: u64,
    /// Timers that expire within this time of each other may run together.
    tick: Micros,
    /// The scheduled wake-up of the timer thread; `None` before the first one is scheduled, and while no timer is set.
    wakes_at: Option<Timestamp>,
}

impl Timers {
    pub(crate) fn new(tick: Micros) -> Self {
        Self { heap: BinaryHeap::new(), last_serial: 0, tick, wakes_at: None }
    }

    pub(crate) fn tick(&self) -> Micros {
        self.tick
    }

    pub(crate) fn set_tick(&mut self, tick: Micros) {
        self.tick = tick;
    }

    pub(crate) fn set(&mut self, expires_at: Timestamp, timer: Timer) {
        self.last_serial += 1;
        self.heap.push(Reverse(ScheduledTimer { expires_at, serial: self.last_serial, timer }));
    }

    /// Time at which the first timer expires; `None` if no timer is set.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse(entry)| entry.expires_at)
    }

    /// Removes and returns the first timer if it has expired.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<Timer> {
        self.next_expiry().filter(|&expires_at| expires_at <= now)?;
        self.heap.pop().map(|Reverse(entry)| entry.timer)
    }

    /// Schedules the next wake-up of the timer thread, at least a tick from now. Returns the time until then, or `None` if no
    /// timer is set.
    pub(crate) fn schedule_wake_up(&mut self, now: Timestamp) -> Option<Micros> {
        self.wakes_at = self.next_expiry().map(|expires_at| expires_at.max(now + self.tick));
        self.wakes_at.map(|wakes_at| wakes_at - now)
    }

    /// Whether the timer thread must be woken because the first timer expires more than a tick before the scheduled wake-up. If
    /// so, the expiry of that timer becomes the scheduled wake-up, so that the thread is woken only once.
    pub(crate) fn take_early_wake_up(&mut self) -> bool {
        let Some(next) = self.next_expiry() else { return false };
        let is_early = self.wakes_at.is_none_or(|wakes_at| next + self.tick < wakes_at);
        if is_early {
            self.wakes_at = Some(next);
        }
        is_early
    }
}
