//! The thread that runs the exchange's timers and the periodic sweeps of idle connections.

use exchange::Exchange;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Interval between two calls of `sweep` in [`start`], which close idle and silent connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Starts a thread that runs the timers of an exchange when they are due, and `sweep` every [`SWEEP_INTERVAL`], until the process
/// ends.
///
/// This is a thread and not a coroutine: in `may` 0.3.51 a coroutine that was woken out of `park_timeout` and parks again may
/// never be woken by the timeout. All deadlines depend on this loop.
pub fn start<Q: Send + Sync + 'static, A: Send + 'static>(
    exchange: Arc<Exchange<Q, A>>,
    sweep: impl Fn() + Send + 'static,
) {
    let timed_exchange = exchange.clone();
    let handle = thread::spawn(move || {
        let mut last_sweep = Instant::now();
        loop {
            let until_next_timer =
                timed_exchange.run_due_timers().map_or(SWEEP_INTERVAL, Duration::from_micros);
            if last_sweep.elapsed() >= SWEEP_INTERVAL {
                sweep();
                last_sweep = Instant::now();
            }
            thread::park_timeout(until_next_timer.min(SWEEP_INTERVAL));
        }
    });
    let timer_thread = handle.thread().clone();
    let waker = timer_thread.clone();
    exchange.set_timer_waker(Box::new(move || waker.unpark()));
    // A timer may have been set before the waker was installed.
    timer_thread.unpark();
}
