//! The part of the coordinator for jobs: applies the scheduler's actions and records the outcomes of runs.

use super::Coordinator;
use crate::log_limiter::{LogKind, LogPermit};
use crate::run_executor::{FinishedRun, PendingRun, RunOutcome, RunTask};
use crate::settings::{HttpJob, Settings};
use periodic_jobs::{Action, ClockReading, Config, Run, StoreCall};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use timestamps::UnixTime;

/// The time between the deadline of a run and the end of its period.
const START_MARGIN: Duration = Duration::from_millis(10);
/// The time between two calls to the lease store while it is unavailable.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two renewals of the lease store session.
const SESSION_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Returns the scheduler's configuration for an instance that starts at `started_at`.
pub(super) fn scheduler_config(settings: &Settings, started_at: UnixTime) -> Config {
    Config {
        instance: settings.instance.clone(),
        standbys: settings.standbys,
        max_clock_skew: settings.max_clock_skew,
        start_margin: START_MARGIN,
        store_retry_interval: STORE_RETRY_INTERVAL,
        session_renewal_interval: SESSION_RENEWAL_INTERVAL,
        // The random number distinguishes two starts of the instance in the same millisecond.
        incarnation: started_at.as_millis() ^ rand::random::<u64>(),
    }
}

impl Coordinator {
    pub(super) fn set_http_jobs(&mut self, jobs: Vec<HttpJob>) {
        self.jobs.set_http_jobs(jobs);
        self.update_jobs(self.clocks.now());
    }

    /// Passes the jobs of the job table to the scheduler. Removes the leases of all jobs that are not in the table from the
    /// lease store in memory.
    pub(super) fn update_jobs(&mut self, now: ClockReading) {
        let jobs = self.jobs.jobs();
        let names: BTreeSet<&str> = jobs.iter().map(|job| job.name.as_str()).collect();
        self.store.retain_local_jobs(|job| names.contains(job));
        self.scheduler.set_jobs(now, jobs);
    }

    /// Applies the scheduler's actions, and the further actions that follow from immediate responses of the store.
    pub(super) fn apply_actions(&mut self, now: ClockReading, actions: Vec<Action>) {
        let mut pending: VecDeque<Action> = actions.into();
        while let Some(action) = pending.pop_front() {
            match action {
                Action::CallStore(call) => pending.extend(self.call_store(now, call)),
                Action::StartRun(run) => self.start_run(now, run),
                Action::Notify(notice) => self.log_notice(now, &notice),
            }
        }
    }

    /// Calls the store. Returns the actions that follow if the response is available at once.
    fn call_store(&mut self, now: ClockReading, call: StoreCall) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(response) = self.store.call(call) {
            self.scheduler.handle_store_response(now, response, &mut actions);
        }
        actions
    }

    fn start_run(&mut self, now: ClockReading, run: Run) {
        let Some(task) = self.jobs.task(&run) else { return };
        if let Err(PendingRun { run, .. }) = self.runs.offer(PendingRun { run, task }) {
            self.run_counts.queue_full += 1;
            if let Some(LogPermit { suppressed }) =
                self.log_limiter.permit(LogKind::RunQueueFull, now.monotonic)
            {
                tracing::info!(job = run.job, run = run.id.0, suppressed, "run missed, no worker was free");
            }
        }
    }

    pub(super) fn handle_finished_run(&mut self, now: ClockReading, finished: &FinishedRun) {
        let FinishedRun { run, task, outcome } = finished;
        self.run_counts.count_outcome(outcome);
        match task {
            RunTask::HealthCheck { backend_id, .. } => self.handle_health_check(now, backend_id, finished),
            RunTask::HttpCall { .. } if outcome.is_success() => {}
            RunTask::HttpCall { .. } => self.log_failed_run(now, run, outcome),
        }
    }

    fn log_failed_run(&mut self, now: ClockReading, run: &Run, outcome: &RunOutcome) {
        if let Some(LogPermit { suppressed }) = self.log_limiter.permit(LogKind::RunFailed, now.monotonic) {
            let reason = outcome.reason();
            tracing::warn!(job = run.job, run = run.id.0, %reason, suppressed, "job run failed");
        }
    }

    /// Records the result of a health check and disseminates its report.
    fn handle_health_check(&mut self, now: ClockReading, backend_id: &str, finished: &FinishedRun) {
        let Some(health) = &mut self.health_monitor else { return };
        let Some(report) = health.record_check(backend_id, finished, now.monotonic) else {
            return;
        };
        self.update_gossip(now, |gossip| gossip.broadcast_report(now.monotonic, &finished.run.job, &report));
        if let Some(health) = &mut self.health_monitor {
            health.update_ejections(now.monotonic);
        }
    }
}
