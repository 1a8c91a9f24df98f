//! Locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. Each change under the locks of this package is complete by itself, so a panic elsewhere has left nothing
/// half-changed.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
