//! Locks that outlive a panic of another thread: what they guard stays usable, and the panic is reported where it happened.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, whether or not another holder has panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
