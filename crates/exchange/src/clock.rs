//! The process's clock.

use policy::{Micros, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Maximum time for which the process may be descheduled between reading its clock and writing to a connection.
pub const MAX_SCHEDULING_DELAY: Micros = 150_000;

/// Microseconds since 1970, monotonic after its start. The names of shared counts rely on similar readings at all gatekeepers.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Timestamp,
    start: Instant,
}

impl Clock {
    /// Starts a clock from one reading of the wall clock.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let base = Timestamp::from_micros(since_epoch.map_or(0, |since| since.as_micros() as u64));
        Self { base, start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}
