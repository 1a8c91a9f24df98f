//! The configuration of a scheduler in tests.

use periodic_jobs::Config;

/// The configuration of an instance with two standbys.
pub fn config(instance: &str, incarnation: u64) -> Config {
    Config {
        instance: instance.into(),
        standbys: 2,
        max_clock_skew_ms: 100,
        start_margin_ms: 10,
        store_retry_interval_ms: 200,
        session_renewal_interval_ms: 3_000,
        incarnation,
    }
}
