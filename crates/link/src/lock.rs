//! Locks.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex. None is held over a wait, so this takes moments at most.
///
/// A poisoned lock means that the state behind it may be half-changed. Going on could break a rule in silence, so the
/// program ends; a gatekeeper that starts anew knows what it needs.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| {
        eprintln!("fatal: a panic left shared state half-changed");
        std::process::abort()
    })
}
