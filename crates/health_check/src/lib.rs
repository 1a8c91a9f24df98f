//! The results of health checks, without I/O.
//!
//! Each backend is checked by one instance in each period; the result becomes a [`HealthReport`] that all instances
//! receive by gossip. A report holds the counts that the thresholds need, so whichever instance checks next continues where
//! the last one stopped. [`HealthTracker`] keeps the newest report of each backend and says which backends are ejected.
//!
//! Invariants:
//!
//! - An older report never replaces a newer one.
//! - Health checks eject no more than the configured fraction of the backends: the checker may be what is broken. Those
//!   that have failed for longest stay ejected, so the choice is the same at all instances with the same reports.
//! - A backend without a report for [`STALE_AFTER_PERIODS`] periods is judged by its traffic alone.

mod config;
mod report;
mod tracker;

pub use config::Config;
pub use report::HealthReport;
pub use tracker::{BackendHealth, HealthStatus, HealthTracker, STALE_AFTER_PERIODS};
