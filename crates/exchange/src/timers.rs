//! Timers, earliest first.

use crate::{AttemptId, OperationId};
use policy::interface::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A timer of the module.
    Module(u64),
    /// An operation's time is over.
    Deadline(OperationId),
    /// An attempt's own time-out.
    Attempt(OperationId, u8),
    /// A counter call is given up.
    Call(u64),
}

/// Timers in order; those due together come in the order in which they were set.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    set: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Micros, due: Due) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, due)));
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    pub(crate) fn pop(&mut self, now: Micros) -> Option<Due> {
        self.next().filter(|&at| at <= now)?;
        self.heap.pop().map(|Reverse((_, _, due))| due)
    }
}

impl From<AttemptId> for Due {
    fn from(attempt: AttemptId) -> Self {
        Self::Attempt(attempt.operation, attempt.attempt)
    }
}
