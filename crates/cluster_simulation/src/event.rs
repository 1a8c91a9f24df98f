//! The events of the simulation, in the order in which they are due.

use crate::store::{StoreCall, StoreResponse};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Identifies one start of an instance: a response to an earlier one is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Incarnation(pub(crate) u64);

#[derive(Debug)]
pub(crate) enum Event {
    /// An instance's timer is due.
    Tick { instance: usize },
    /// A datagram arrives at an instance.
    Datagram { instance: usize, bytes: Vec<u8> },
    /// A call of an instance reaches the store.
    StoreCall { instance: usize, incarnation: Incarnation, call: StoreCall },
    /// A response of the store reaches an instance.
    StoreResponse { instance: usize, incarnation: Incarnation, response: StoreResponse },
}

/// The pending events. Those due at the same time keep the order in which they were scheduled.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    /// The due time and the number of each event.
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    last_number: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, due_ms: u64, event: Event) {
        self.last_number += 1;
        self.order.push(Reverse((due_ms, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// The next event that is due by this time, and its due time.
    pub(crate) fn pop_due(&mut self, until_ms: u64) -> Option<(u64, Event)> {
        let &Reverse((due_ms, number)) = self.order.peek()?;
        if due_ms > until_ms {
            return None;
        }
        self.order.pop();
        Some((due_ms, self.events.remove(&number)?))
    }
}
