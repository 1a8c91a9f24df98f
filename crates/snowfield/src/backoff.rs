//! Exponential backoff between attempts.

use std::thread;
use std::time::Duration;

/// A pause that doubles with each attempt, up to a limit.
pub struct ExponentialBackoff {
    next: Duration,
    max: Duration,
}

impl ExponentialBackoff {
    /// Starts with a pause of `min`; none is longer than `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { next: min, max }
    }

    /// Blocks the thread for the next pause.
    pub fn sleep(&mut self) {
        thread::sleep(self.next);
        self.next = (2 * self.next).min(self.max);
    }
}
