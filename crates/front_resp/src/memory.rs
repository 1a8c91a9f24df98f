//! Bytes that a front holds for its clients, counted: a process that holds more than its limit is killed.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// How many bytes are held for one purpose, and how many should be at the most.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    held_bytes: AtomicUsize,
    max_bytes: usize,
}

impl MemoryBudget {
    pub(crate) fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self { held_bytes: AtomicUsize::new(0), max_bytes })
    }

    /// Whether no more should be held.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.held_bytes.load(Ordering::Relaxed) > self.max_bytes
    }
}

/// What one owner holds of a budget; given back when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    pub(crate) fn empty(budget: &Arc<MemoryBudget>) -> Self {
        Self { budget: budget.clone(), bytes: 0 }
    }

    pub(crate) fn new(budget: &Arc<MemoryBudget>, bytes: usize) -> Self {
        let mut reservation = Self::empty(budget);
        reservation.resize(bytes);
        reservation
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds so many bytes from now on.
    pub(crate) fn resize(&mut self, bytes: usize) {
        if bytes != self.bytes {
            // Wraps where it becomes less, and so does the sum.
            let more = bytes.wrapping_sub(std::mem::replace(&mut self.bytes, bytes));
            self.budget.held_bytes.fetch_add(more, Ordering::Relaxed);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
