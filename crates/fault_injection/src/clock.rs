//! The clock of a schedule.

use crate::history::now_us;
use std::thread;
use std::time::Duration;

/// Measures the time since a schedule began, by the clock of all histories. Copies have the same begin.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleClock {
    start_us: u64,
}

impl ScheduleClock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self { start_us: now_us() }
    }

    /// The time since the begin.
    pub fn now(self) -> Duration {
        Duration::from_micros(now_us().saturating_sub(self.start_us))
    }

    /// Sleeps until this time since the begin.
    pub fn sleep_until(self, time: Duration) {
        thread::sleep(time.saturating_sub(self.now()));
    }
}
