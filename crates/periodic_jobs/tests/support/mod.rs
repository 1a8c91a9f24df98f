//! Settings and clock readings for tests of the scheduler.

use periodic_jobs::{ClockReading, Config};
use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime};

/// Returns the settings of an instance in a cluster where each job has two standbys.
pub fn config(instance: &str, incarnation: u64) -> Config {
    Config {
        instance: instance.into(),
        standbys: 2,
        max_clock_skew: Duration::from_millis(100),
        start_margin: Duration::from_millis(10),
        store_retry_interval: Duration::from_millis(200),
        session_renewal_interval: Duration::from_millis(3_000),
        incarnation,
    }
}

/// Returns a clock reading with these times in milliseconds.
pub fn clock_reading(unix_ms: u64, monotonic_ms: u64) -> ClockReading {
    ClockReading { unix: UnixTime::from_millis(unix_ms), monotonic: MonotonicTime::from_millis(monotonic_ms) }
}
