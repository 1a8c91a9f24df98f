//! Locking of mutexes.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: every critical section of this package is a single complete change, so a panic cannot leave
/// inconsistent state behind.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
