//! The clock.

use policy::{Micros, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since 1970, monotonic after its start. The names of counts need about the same reading at all gatekeepers.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Timestamp,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock once.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let base = Timestamp::from_micros(since_epoch.map_or(0, |since| since.as_micros() as u64));
        Self { base, start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}
