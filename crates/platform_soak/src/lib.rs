//! A soak test of the platform path: a few dozen real gatekeepers (`run`, RESP2) on loopback with stand-ins of clients, backends,
//! discovery and the counter, and troubles that overlap in time. What happened is recorded on one clock and judged by invariants.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `settings` | the settings of a site, drawn from the seed |
//! | `schedule` | which troubles begin when, drawn from the seed |
//! | `site` | the processes and stand-ins of one schedule |
//! | `gatekeeper` | one gatekeeper over all its processes |
//! | `stand_ins` | backends, discovery agents, the counter |
//! | `client` | clients, well and badly behaved |
//! | `troubles` | carrying out a schedule |
//! | `history` | what happened |
//! | `checkers` | the invariants |

pub mod checkers;
pub mod client;
pub mod gatekeeper;
pub mod history;
pub mod run;
pub mod schedule;
pub mod settings;
pub mod site;
pub mod stand_ins;
pub mod troubles;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose state no panic leaves half-changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
