//! The clock.

use policy::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since 1970, monotonic after its start. The names of counts need about the same reading at all gatekeepers.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock once.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self { base: since_epoch.map_or(0, |since| since.as_micros() as Micros), start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}
