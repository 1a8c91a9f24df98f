//! The process's clock, and the margin for delays between reading it and acting on it.

use policy::{Micros, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Maximum time in microseconds for which the process may be descheduled between reading its clock and writing to a connection.
pub const MAX_SCHEDULING_DELAY: Micros = 150_000;

/// A clock that counts microseconds since 1970: one reading of the wall clock, continued by the monotonic clock. The names of
/// counts that gatekeepers share are derived from the time, so the clocks of all gatekeepers must roughly agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall_time_at_start: Timestamp,
    started_at: Instant,
}

impl Clock {
    /// Starts a clock from one reading of the wall clock.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_time_at_start =
            Timestamp::from_micros(since_epoch.map_or(0, |since| since.as_micros() as u64));
        Self { wall_time_at_start, started_at: Instant::now() }
    }

    /// The current time. Adjustments of the wall clock after the start do not affect this clock.
    pub fn now(&self) -> Timestamp {
        self.wall_time_at_start + self.started_at.elapsed().as_micros() as Micros
    }
}
