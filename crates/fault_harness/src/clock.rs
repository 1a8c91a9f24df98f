//! The monotonic clock that times all histories, and the clock of a schedule.

use std::thread;
use std::time::Duration;

/// Time of the system's monotonic clock in microseconds. All processes of a machine share this clock.
pub fn now_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Measures the time since the start of a schedule by the monotonic clock. Copies share the same start.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleClock {
    start_us: u64,
}

impl ScheduleClock {
    /// Starts a clock now.
    pub fn start() -> Self {
        Self { start_us: now_us() }
    }

    /// The time since the clock was started.
    pub fn now(self) -> Duration {
        Duration::from_micros(now_us().saturating_sub(self.start_us))
    }

    /// Sleeps until `time` has passed since the clock was started.
    pub fn sleep_until(self, time: Duration) {
        thread::sleep(time.saturating_sub(self.now()));
    }
}
