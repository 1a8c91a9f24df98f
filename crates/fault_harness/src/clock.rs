//! The clock of all histories, and that of a schedule.

use std::thread;
use std::time::Duration;

/// Microseconds of the system's monotonic clock, which all processes of a machine share.
pub fn now_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

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
