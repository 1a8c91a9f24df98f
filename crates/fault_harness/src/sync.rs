//! Mutexes that stay usable after another thread has panicked while it held them. The panic itself is reported by its own thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if it is poisoned because a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
