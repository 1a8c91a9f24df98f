//! Mutex locking that treats a poisoned lock as fatal.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex. No coroutine suspends while it holds a lock, so this blocks only briefly.
///
/// Aborts the process if the lock is poisoned: a panic may have left the protected state half-changed, and continuing could break
/// an invariant silently. A gatekeeper that restarts recovers its state.
pub fn lock_or_abort<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| {
        eprintln!("fatal: a panic left shared state half-changed");
        std::process::abort()
    })
}
