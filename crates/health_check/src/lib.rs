//! The evaluation of health checks, without I/O.
//!
//! In each check period, one instance checks a backend and disseminates a [`HealthReport`] to all instances by gossip. A
//! report carries the count of consecutive results that the thresholds need, so any instance can make the next check.
//! [`HealthTracker`] keeps the newest report of each backend and determines the ejected backends.
//!
//! Invariants:
//!
//! - An older report on a backend never replaces a newer one.
//! - Health checks eject at most the configured fraction of the backends (a panic threshold), because the fault may lie in
//!   the checking instance. The backends that have been failing longest stay ejected, so all instances with the same reports
//!   eject the same backends.
//! - A report received more than [`STALE_AFTER_PERIODS`] check periods ago is ignored, and its backend is judged by its
//!   traffic alone.

mod config;
mod report;
mod tracker;

pub use config::Config;
pub use report::HealthReport;
pub use tracker::{BackendHealth, HealthStatus, HealthTracker, STALE_AFTER_PERIODS};
