//! Fairness between connections on the one worker.

use std::time::Duration;

/// Consecutive reads or accepted connections after which other coroutines get a turn. The worker polls sockets only when every
/// coroutine waits, so a connection that always has bytes would starve the others.
pub(crate) const MAX_BURST: u32 = 16;
/// Length of that turn. It is a sleep, since a coroutine that yields stays in the worker's run queue and keeps it from polling.
pub(crate) const TURN: Duration = Duration::from_millis(1);
