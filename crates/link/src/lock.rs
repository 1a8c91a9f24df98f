//! Mutex locking that treats a poisoned lock as fatal.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex. No coroutine waits while it holds a lock, so this blocks for moments at most.
///
/// Aborts the process where the lock is poisoned: a panic may have left the state behind it half-changed, and going on could break
/// an invariant silently. A gatekeeper that restarts recovers its state.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| {
        eprintln!("fatal: a panic left shared state half-changed");
        std::process::abort()
    })
}
