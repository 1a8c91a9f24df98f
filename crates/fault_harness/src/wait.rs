//! Waits for a condition by polling, where no notification exists.

use std::thread;
use std::time::{Duration, Instant};

/// Timeout for a step of a gatekeeper, longer than any step may take.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits up to `timeout` until `condition` holds, and checks it every `interval`. Returns whether it held in time.
pub fn wait_until(timeout: Duration, interval: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(interval);
    }
    true
}
