//! The events of the simulation and their queue.

use periodic_jobs::{StoreCall, StoreResponse};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use timestamps::MonotonicTime;

/// Identifies one start of an instance. A response to a call of an earlier start is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Incarnation(pub(crate) u64);

/// An event that an instance or the store handles when it is due.
#[derive(Debug)]
pub(crate) enum Event {
    /// The timer of an instance is due.
    Tick { instance: usize },
    /// A datagram arrives at an instance.
    Datagram { instance: usize, bytes: Vec<u8> },
    /// A call of an instance reaches the store.
    StoreCall { instance: usize, incarnation: Incarnation, call: StoreCall },
    /// A response of the store reaches an instance.
    StoreResponse { instance: usize, incarnation: Incarnation, response: StoreResponse },
}

/// The pending events, by due time. Events due at the same time keep the order in which they were scheduled.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    order: BinaryHeap<Reverse<QueuePosition>>,
    /// The events by sequence number.
    events: HashMap<u64, Event>,
    last_sequence: u64,
}

/// The position of an event in the queue: by due time, then by sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    due: MonotonicTime,
    sequence: u64,
}

/// An event that is due.
pub(crate) struct DueEvent {
    pub(crate) due: MonotonicTime,
    pub(crate) event: Event,
}

impl EventQueue {
    /// Schedules an event for the time `due`.
    pub(crate) fn schedule(&mut self, due: MonotonicTime, event: Event) {
        self.last_sequence += 1;
        self.order.push(Reverse(QueuePosition { due, sequence: self.last_sequence }));
        self.events.insert(self.last_sequence, event);
    }

    /// Removes and returns the next event if it is due at or before `until`.
    pub(crate) fn pop_due(&mut self, until: MonotonicTime) -> Option<DueEvent> {
        let &Reverse(QueuePosition { due, sequence }) = self.order.peek()?;
        if due > until {
            return None;
        }
        self.order.pop();
        let event = self.events.remove(&sequence)?;
        Some(DueEvent { due, event })
    }
}
