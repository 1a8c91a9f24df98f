//! Fairness between connections, which share one worker.

use std::time::Duration;

/// Maximum consecutive reads or accepted connections before a coroutine yields to others. The worker polls sockets only when
/// every coroutine waits, so a connection that always has bytes would starve the others.
pub(crate) const MAX_BURST: u32 = 16;
/// Duration of the sleep by which a coroutine yields. A plain yield would keep the coroutine in the worker's run queue, and so
/// keep the worker from polling.
pub(crate) const YIELD_TIME: Duration = Duration::from_millis(1);
