//! Byte budgets that all clients share. The budgets keep the process below its memory limit, above which the system kills it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that are reserved for one purpose, and the soft limit on them.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    reserved_bytes: AtomicUsize,
    max_bytes: usize,
}

impl MemoryBudget {
    pub(crate) fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self { reserved_bytes: AtomicUsize::new(0), max_bytes })
    }

    /// Returns the equal share of each of `owners` in the budget.
    pub(crate) fn share(&self, owners: usize) -> usize {
        self.max_bytes / owners.max(1)
    }

    /// Whether the reservations exceed the budget.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.reserved_bytes.load(Ordering::Relaxed) > self.max_bytes
    }
}

/// The bytes of a budget that one owner has reserved, released when dropped.
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

    /// Grows or shrinks the reservation to this many bytes. It never fails; owners check [`MemoryBudget::is_exceeded`].
    pub(crate) fn resize(&mut self, bytes: usize) {
        if bytes != self.bytes {
            // If the reservation shrinks, the difference wraps around, and adding it wraps the sum back to the smaller value.
            let difference = bytes.wrapping_sub(std::mem::replace(&mut self.bytes, bytes));
            self.budget.reserved_bytes.fetch_add(difference, Ordering::Relaxed);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
