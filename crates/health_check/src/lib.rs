//! The evaluation of health checks, without I/O.
//!
//! In each period one instance checks each backend and disseminates a [`HealthReport`] to all instances by gossip. A report
//! carries the counts that the thresholds need, so any instance can make the next check. [`HealthTracker`] keeps the newest
//! report of each backend and determines the ejected backends.
//!
//! Invariants:
//!
//! - An older report never replaces a newer one.
//! - Health checks eject at most the configured fraction of the backends, because the checking instance itself may be faulty
//!   (panic threshold). The backends that have failed longest stay ejected, so all instances with the same reports eject
//!   the same ones.
//! - A report older than [`STALE_AFTER_PERIODS`] periods is ignored, and its backend is judged by its traffic alone.

mod config;
mod report;
mod tracker;

pub use config::Config;
pub use report::HealthReport;
pub use tracker::{BackendHealth, HealthStatus, HealthTracker, STALE_AFTER_PERIODS};
