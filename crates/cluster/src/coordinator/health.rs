//! Health checks: the backends, the results of checks, and which backends are ejected.

use super::Coordinator;
use crate::job_names;
use crate::run_executor::{FinishedRun, RunOutcome};
use crate::settings::Backend;
use health_check::{HealthReport, HealthStatus};
use periodic_jobs::{ClockReading, Run};
use std::collections::BTreeSet;

impl Coordinator {
    pub(super) fn set_backends(&mut self, now: ClockReading, backends: Vec<Backend>) {
        self.backends = backends.into_iter().map(|backend| (backend.id, backend.address)).collect();
        let Some(health) = &mut self.health else { return };
        health.set_backends(self.backends.keys().cloned());
        if let Some(membership) = &mut self.membership {
            let backends = &self.backends;
            membership.retain_topics(|topic| {
                job_names::checked_backend(topic).is_some_and(|id| backends.contains_key(id))
            });
        }
        self.update_jobs(now);
    }

    /// Records the result of a health check and disseminates the report.
    pub(super) fn handle_health_check(
        &mut self,
        now: ClockReading,
        backend_id: &str,
        finished: &FinishedRun,
    ) {
        let FinishedRun { run, outcome, .. } = finished;
        // A check that was not made says nothing.
        if *outcome == RunOutcome::DeadlinePassed {
            return;
        }
        let Some(health) = &mut self.health else { return };
        let passed = outcome.is_success();
        let scheduled_unix_ms = run.id.scheduled_unix_ms();
        let report = health.record_check(backend_id, scheduled_unix_ms, passed, now.monotonic_ms);
        let Some(report) = report else { return };
        if report.has_changed() && report.failing {
            tracing::warn!(backend = backend_id, reason = %outcome.reason(), "health check failing");
        } else if report.has_changed() && report.contrary_results == 0 && passed {
            tracing::info!(backend = backend_id, "health check recovered");
        }
        self.disseminate_report(now, run, &report);
        self.update_ejections(now);
    }

    fn disseminate_report(&mut self, now: ClockReading, run: &Run, report: &HealthReport) {
        let Some(membership) = &mut self.membership else { return };
        let (topic, version) = (&run.job, report.scheduled_unix_ms);
        let mut outputs = Vec::new();
        membership.broadcast(now.monotonic_ms, topic, version, &report.encode(), &mut outputs);
        self.handle_membership_outputs(now, outputs);
    }

    /// Notifies the program where the set of ejected backends has changed.
    pub(super) fn update_ejections(&mut self, now: ClockReading) {
        let Some(health) = &self.health else { return };
        let ejected: BTreeSet<String> = health.ejected(now.monotonic_ms).into_iter().collect();
        if ejected == self.ejected {
            return;
        }
        tracing::info!(
            count = ejected.len(),
            listed = self.backends.len(),
            backends = ejected.iter().map(String::as_str).collect::<Vec<_>>().join(" "),
            "ejected backends changed"
        );
        let health = health.health(now.monotonic_ms);
        let limited = health.values().filter(|h| h.status == HealthStatus::EjectionLimited).count();
        if limited > 0 {
            tracing::warn!(count = limited, "failing backends kept in use, ejection limit reached");
        }
        (self.resources.on_ejection_change)(&ejected);
        self.ejected = ejected;
    }
}
