//! The configuration of health checks.

use std::time::Duration;

/// The configuration of a [`HealthTracker`](crate::HealthTracker).
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The time between two checks of a backend. The period also determines when a report is stale.
    pub period: Duration,
    /// The number of consecutive failed checks after which a healthy backend counts as failing. 0 has the effect of 1.
    pub unhealthy_threshold: u32,
    /// The number of consecutive passed checks after which a failing backend counts as healthy. 0 has the effect of 1.
    pub healthy_threshold: u32,
    /// The maximum fraction of the backends that may be ejected at once, from 0 to 1. The resulting number of backends is
    /// rounded down.
    pub max_ejected_fraction: f64,
}
