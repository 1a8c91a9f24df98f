//! Exponential backoff of a thread that retries an operation.

use std::thread;
use std::time::Duration;

/// Blocks a thread between retries. Each pause is twice as long as the previous one, up to a limit.
pub struct ExponentialBackoff {
    next_pause: Duration,
    max_pause: Duration,
}

impl ExponentialBackoff {
    /// Creates a backoff whose first pause is `min_pause` and whose longest pause is `max_pause`.
    pub fn new(min_pause: Duration, max_pause: Duration) -> Self {
        Self { next_pause: min_pause, max_pause }
    }

    /// Blocks the thread for the next pause.
    pub fn sleep(&mut self) {
        thread::sleep(self.next_pause);
        self.next_pause = (2 * self.next_pause).min(self.max_pause);
    }
}
