//! The configuration of health checks.

use std::time::Duration;

/// The period, the thresholds and the ejection limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The time between two checks of a backend.
    pub period: Duration,
    /// The number of consecutive failed checks after which a healthy backend is failing.
    pub unhealthy_threshold: u32,
    /// The number of consecutive passed checks after which a failing backend is healthy.
    pub healthy_threshold: u32,
    /// The maximum fraction of the backends that may be ejected at once, from 0 to 1.
    pub max_ejected_fraction: f64,
}
