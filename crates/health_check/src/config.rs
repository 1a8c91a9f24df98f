//! The configuration of health checks.

/// How the results of health checks become a status.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Milliseconds between two checks of a backend.
    pub period_ms: u64,
    /// Failures in a row after which a backend counts as failing.
    pub unhealthy_threshold: u32,
    /// Successes in a row after which it counts as healthy again.
    pub healthy_threshold: u32,
    /// The largest fraction of the backends that may be ejected at once, from 0 to 1.
    pub max_ejected_fraction: f64,
}
