//! Timers, earliest first.

use crate::request::AttemptId;
use policy::{RequestId, Timestamp};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A timer of the policy, with its token.
    Policy(u64),
    /// The deadline of a request.
    Deadline(RequestId),
    /// The timeout of an attempt.
    Attempt(AttemptId),
    /// When an attempt must have been written.
    StartBy(AttemptId),
    /// The timeout of a counter call.
    CounterCall(u64),
    /// The next call of the fleet's clock.
    FleetClock,
}

/// A timer in the heap. Those that expire together come in the order in which they were set.
#[derive(Debug)]
struct Entry {
    expires_at: Timestamp,
    serial: u64,
    timer: Timer,
}

impl Entry {
    fn key(&self) -> (Timestamp, u64) {
        (self.expires_at, self.serial)
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// A queue of timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<Entry>>,
    last_serial: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, expires_at: Timestamp, timer: Timer) {
        self.last_serial += 1;
        self.heap.push(Reverse(Entry { expires_at, serial: self.last_serial, timer }));
    }

    /// When the first timer expires.
    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse(entry)| entry.expires_at)
    }

    /// Takes the first timer if it has expired.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<Timer> {
        self.next().filter(|&expires_at| expires_at <= now)?;
        self.heap.pop().map(|Reverse(entry)| entry.timer)
    }
}
