//! Jobs: the scheduler's actions and the results of runs.

use super::Coordinator;
use crate::job_names;
use crate::log_limiter::LogPermit;
use crate::run_executor::{FinishedRun, PendingRun, RunOutcome, RunTask};
use crate::settings::{HttpJob, Settings};
use periodic_jobs::{Action, ClockReading, Config, Job, Run, StoreCall};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// The time between the deadline of a run and the end of its period.
const START_MARGIN: Duration = Duration::from_millis(10);
/// The time between two calls while the lease store is unavailable.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two renewals of the session.
const SESSION_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Returns the configuration of the scheduler of an instance that starts at this moment.
pub(super) fn scheduler_config(settings: &Settings, start_unix_ms: u64) -> Config {
    Config {
        instance: settings.instance.clone(),
        standbys: settings.standbys,
        max_clock_skew: settings.max_clock_skew,
        start_margin: START_MARGIN,
        store_retry_interval: STORE_RETRY_INTERVAL,
        session_renewal_interval: SESSION_RENEWAL_INTERVAL,
        // The random part distinguishes two starts in the same millisecond.
        incarnation: start_unix_ms ^ rand::random::<u64>(),
    }
}

impl Coordinator {
    pub(super) fn set_http_jobs(&mut self, jobs: Vec<HttpJob>) {
        self.http_jobs = jobs.into_iter().map(|job| (job_names::http_job(&job.name), job)).collect();
        self.update_jobs(self.resources.clocks.now());
    }

    /// Passes the HTTP jobs and a health check per backend to the scheduler.
    pub(super) fn update_jobs(&mut self, now: ClockReading) {
        let http_jobs =
            self.http_jobs.iter().map(|(name, job)| Job { name: name.clone(), period: job.period });
        let check_period = self.health.as_ref().map(|health| health.config().period);
        let health_check =
            |id: &String| Some(Job { name: job_names::health_check(id), period: check_period? });
        let jobs: Vec<Job> = http_jobs.chain(self.backends.keys().filter_map(health_check)).collect();
        let names: BTreeSet<&str> = jobs.iter().map(|job| job.name.as_str()).collect();
        self.resources.store.retain_local_jobs(|job| names.contains(job));
        self.scheduler.set_jobs(now, jobs);
    }

    /// Applies the scheduler's actions, and those that follow from them at once.
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

    /// Calls the store. Returns the actions that follow from a response that is available at once.
    fn call_store(&mut self, now: ClockReading, call: StoreCall) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(response) = self.resources.store.call(call) {
            self.scheduler.handle_store_response(now, response, &mut actions);
        }
        actions
    }

    fn start_run(&mut self, now: ClockReading, run: Run) {
        let Some(task) = self.run_task(&run) else { return };
        if let Err(PendingRun { run, .. }) = self.resources.runs.offer(PendingRun { run, task }) {
            self.run_counts.queue_full += 1;
            if let Some(LogPermit { suppressed }) = self.log_limiter.permit("queue full", now.monotonic_ms) {
                tracing::info!(job = run.job, run = run.id.0, suppressed, "run missed, no worker was free");
            }
        }
    }

    /// Returns the task of a run. Returns `None` if its job or backend was removed.
    fn run_task(&self, run: &Run) -> Option<RunTask> {
        if let Some(job) = self.http_jobs.get(&run.job) {
            return Some(RunTask::HttpCall { url: job.url.clone(), timeout: job.timeout });
        }
        let checks = self.settings.health_checks.as_ref()?;
        let backend_id = job_names::checked_backend(&run.job)?;
        Some(RunTask::HealthCheck {
            backend_id: backend_id.to_owned(),
            address: *self.backends.get(backend_id)?,
            path: checks.path.clone(),
            timeout: checks.timeout,
        })
    }

    pub(super) fn handle_finished_run(&mut self, now: ClockReading, finished: &FinishedRun) {
        let FinishedRun { run, task, outcome } = finished;
        match outcome {
            RunOutcome::DeadlinePassed => self.run_counts.deadline_passed += 1,
            _ if outcome.is_success() => self.run_counts.succeeded += 1,
            _ => self.run_counts.failed += 1,
        }
        match task {
            RunTask::HealthCheck { backend_id, .. } => self.handle_health_check(now, backend_id, finished),
            RunTask::HttpCall { .. } if outcome.is_success() => {}
            RunTask::HttpCall { .. } => {
                if let Some(LogPermit { suppressed }) = self.log_limiter.permit("call", now.monotonic_ms) {
                    let reason = outcome.reason();
                    tracing::warn!(job = run.job, run = run.id.0, %reason, suppressed, "run failed");
                }
            }
        }
    }
}
