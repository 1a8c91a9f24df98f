//! The thread that runs the timers.

use exchange::Exchange;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Between two sweeps for what has been idle or silent for too long.
const SWEEP: Duration = Duration::from_millis(250);

/// Runs an exchange's timers when they are due, and `sweep` now and then, for ever.
///
/// This is a thread and no coroutine: in `may` 0.3.51 a coroutine that was woken out of `park_timeout` and parks again
/// may never be woken by the time-out. All deadlines hang on this loop.
pub fn run<Q: Send + Sync + 'static, A: Send + 'static>(
    exchange: Arc<Exchange<Q, A>>,
    sweep: impl Fn() + Send + 'static,
) {
    let runner = exchange.clone();
    let thread = thread::spawn(move || {
        let mut swept = Instant::now();
        loop {
            let next = runner.run_due_timers().map_or(SWEEP, Duration::from_micros);
            if swept.elapsed() >= SWEEP {
                sweep();
                swept = Instant::now();
            }
            thread::park_timeout(next.min(SWEEP));
        }
    });
    let thread = thread.thread().clone();
    let waker = thread.clone();
    exchange.set_timer_waker(Box::new(move || waker.unpark()));
    // A timer may have been set before that.
    thread.unpark();
}
