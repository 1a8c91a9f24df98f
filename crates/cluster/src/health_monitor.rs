//! Tracks the health of the backends and notifies the program of ejections.

use crate::run_executor::{FinishedRun, RunOutcome};
use health_check::{BackendHealth, HealthReport, HealthStatus, HealthTracker};
use std::collections::{BTreeMap, BTreeSet};
use timestamps::MonotonicTime;

/// A callback that receives the ids of the backends ejected by health checks whenever the set changes.
pub type OnEjectionChange = Box<dyn Fn(&BTreeSet<String>) + Send>;

/// Tracks the health reports of the backends and notifies the program when the set of ejected backends changes.
pub(crate) struct HealthMonitor {
    tracker: HealthTracker,
    ejected: BTreeSet<String>,
    on_ejection_change: OnEjectionChange,
}

impl HealthMonitor {
    /// Creates a monitor without backends.
    pub(crate) fn new(config: health_check::Config, on_ejection_change: OnEjectionChange) -> Self {
        Self { tracker: HealthTracker::new(config), ejected: BTreeSet::new(), on_ejection_change }
    }

    /// Replaces the set of backends. Backends in both the old and the new set keep their reports.
    pub(crate) fn set_backends(&mut self, ids: impl IntoIterator<Item = String>) {
        self.tracker.set_backends(ids);
    }

    /// Returns the health of each backend by id.
    pub(crate) fn health(&self, now: MonotonicTime) -> BTreeMap<&str, BackendHealth> {
        self.tracker.health(now)
    }

    /// Applies the report of another instance.
    pub(crate) fn apply_report(&mut self, backend_id: &str, report: HealthReport, now: MonotonicTime) {
        self.tracker.apply_report(backend_id, report, now);
    }

    /// Records the result of a check made by this instance. Returns the report to disseminate, or `None` if the check was
    /// not made or is outdated.
    pub(crate) fn record_check(
        &mut self,
        backend_id: &str,
        finished: &FinishedRun,
        now: MonotonicTime,
    ) -> Option<HealthReport> {
        let FinishedRun { run, outcome, .. } = finished;
        if *outcome == RunOutcome::DeadlinePassed {
            return None;
        }
        let passed = outcome.is_success();
        let report = self.tracker.record_check(backend_id, run.id.into(), passed, now)?;
        if report.has_changed() && report.failing {
            tracing::warn!(backend = backend_id, reason = %outcome.reason(), "health check failing");
        } else if report.has_changed() && report.contrary_results == 0 && passed {
            tracing::info!(backend = backend_id, "health check recovered");
        }
        Some(report)
    }

    /// Notifies the program if the set of ejected backends has changed.
    pub(crate) fn update_ejections(&mut self, now: MonotonicTime) {
        let ejected = self.tracker.ejected(now);
        if ejected == self.ejected {
            return;
        }
        self.log_ejections(&ejected, now);
        (self.on_ejection_change)(&ejected);
        self.ejected = ejected;
    }

    fn log_ejections(&self, ejected: &BTreeSet<String>, now: MonotonicTime) {
        let health = self.tracker.health(now);
        tracing::info!(
            count = ejected.len(),
            listed = health.len(),
            backends = ejected.iter().map(String::as_str).collect::<Vec<_>>().join(" "),
            "ejected backends changed"
        );
        let is_limited = |health: &&BackendHealth| health.status == HealthStatus::EjectionLimited;
        let limited = health.values().filter(is_limited).count();
        if limited > 0 {
            tracing::warn!(count = limited, "failing backends kept in use, ejection limit reached");
        }
    }
}

#[cfg(test)]
mod tests;
