//! Waiting for a condition that nobody notifies.

use std::thread;
use std::time::{Duration, Instant};

/// Longer than any step of a gatekeeper may take.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until the condition holds and checks it once an interval. Tells whether it held in time.
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
