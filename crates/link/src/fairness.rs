//! Fairness between connections on the one worker.

use std::time::Duration;

/// Reads, or accepted connections, in a row after which all others get a turn. The worker polls other sockets only when every
/// coroutine waits, so one that always finds bytes would starve them.
pub(crate) const MAX_BURST: u32 = 16;
/// How long their turn is. A sleep and no yield: what yields stays in the worker's queue and keeps it from polling.
pub(crate) const TURN: Duration = Duration::from_millis(1);
