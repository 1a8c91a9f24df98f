//! The thread that runs the timers.

use exchange::Exchange;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How often idle and silent connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Starts a thread that runs the timers of an exchange when they are due, and `sweep` at an interval, until the process ends.
///
/// This is a thread and not a coroutine: in `may` 0.3.51 a coroutine that was woken out of `park_timeout` and parks again may
/// never be woken by the time-out. All deadlines depend on this loop.
pub fn start<Q: Send + Sync + 'static, A: Send + 'static>(
    exchange: Arc<Exchange<Q, A>>,
    sweep: impl Fn() + Send + 'static,
) {
    let driven = exchange.clone();
    let timer_thread = thread::spawn(move || {
        let mut last_sweep = Instant::now();
        loop {
            let next_timer = driven.run_due_timers().map_or(SWEEP_INTERVAL, Duration::from_micros);
            if last_sweep.elapsed() >= SWEEP_INTERVAL {
                sweep();
                last_sweep = Instant::now();
            }
            thread::park_timeout(next_timer.min(SWEEP_INTERVAL));
        }
    });
    let timer_thread = timer_thread.thread().clone();
    let woken = timer_thread.clone();
    exchange.set_timer_waker(Box::new(move || woken.unpark()));
    // A timer may have been set before the waker was.
    timer_thread.unpark();
}
