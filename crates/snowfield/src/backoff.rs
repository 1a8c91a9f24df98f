//! Exponential backoff of a thread that retries an operation.

use std::thread;
use std::time::Duration;

/// Blocks a thread between retries. Each pause is twice as long as the previous one, up to a limit.
pub struct ExponentialBackoff {
    next: Duration,
    max: Duration,
}

impl ExponentialBackoff {
    /// Creates a backoff whose first pause is `min` and whose longest is `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { next: min, max }
    }

    /// Blocks the thread for the next pause.
    pub fn sleep(&mut self) {
        thread::sleep(self.next);
        self.next = (2 * self.next).min(self.max);
    }
}
