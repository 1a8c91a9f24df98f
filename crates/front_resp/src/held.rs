//! Bytes that a front holds for its clients, counted: a process that holds more than its limit is killed.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// How many bytes are held for one purpose, and how many should be at the most.
#[derive(Debug)]
pub(crate) struct Held {
    bytes: AtomicUsize,
    most: usize,
}

impl Held {
    pub(crate) fn new(most: usize) -> Arc<Self> {
        Arc::new(Self { bytes: AtomicUsize::new(0), most })
    }

    /// Whether no more should be held.
    pub(crate) fn is_over(&self) -> bool {
        self.bytes.load(Ordering::Relaxed) > self.most
    }
}

/// What one owner holds of it; given back when dropped.
#[derive(Debug)]
pub(crate) struct Holding {
    of: Arc<Held>,
    bytes: usize,
}

impl Holding {
    pub(crate) fn of(held: &Arc<Held>) -> Self {
        Self { of: held.clone(), bytes: 0 }
    }

    pub(crate) fn new(held: &Arc<Held>, bytes: usize) -> Self {
        let mut holding = Self::of(held);
        holding.set(bytes);
        holding
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds so many bytes from now on.
    pub(crate) fn set(&mut self, bytes: usize) {
        if bytes != self.bytes {
            // Wraps where it becomes less, and so does the sum.
            let more = bytes.wrapping_sub(std::mem::replace(&mut self.bytes, bytes));
            self.of.bytes.fetch_add(more, Ordering::Relaxed);
        }
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.set(0);
    }
}
