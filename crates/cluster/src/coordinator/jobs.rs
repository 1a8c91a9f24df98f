//! Jobs: the scheduler's actions, and the runs.

use super::Coordinator;
use crate::job_names;
use crate::log_limiter::LogPermit;
use crate::run_executor::{FinishedRun, PendingRun, RunOutcome, RunTask};
use crate::settings::{HttpJob, Settings};
use crate::store_client::StoreCall;
use periodic_jobs::{Action, ClockReading, Config, Job, Run};
use std::collections::{BTreeSet, VecDeque};

/// A run must start at least this many milliseconds before its period ends.
const START_MARGIN_MS: u64 = 10;
/// Milliseconds between two calls while the lease store is unavailable.
const STORE_RETRY_MS: u64 = 100;
/// Milliseconds between two renewals of the session.
const SESSION_RENEWAL_MS: u64 = 3_000;

/// The scheduler's configuration for an instance that starts at this time.
pub(super) fn scheduler_config(settings: &Settings, start_unix_ms: u64) -> Config {
    Config {
        instance: settings.instance.clone(),
        standbys: settings.standbys,
        max_clock_skew_ms: settings.max_clock_skew_ms,
        start_margin_ms: START_MARGIN_MS,
        store_retry_ms: STORE_RETRY_MS,
        session_renewal_ms: SESSION_RENEWAL_MS,
        // Two starts in the same millisecond must not be taken for one.
        incarnation: start_unix_ms ^ rand::random::<u64>(),
    }
}

impl Coordinator {
    pub(super) fn set_http_jobs(&mut self, jobs: Vec<HttpJob>) {
        self.http_jobs = jobs.into_iter().map(|job| (job_names::http_job(&job.name), job)).collect();
        self.update_jobs(self.resources.clocks.now());
    }

    /// Hands the HTTP jobs and a health check for each backend to the scheduler.
    pub(super) fn update_jobs(&mut self, now: ClockReading) {
        let http_jobs =
            self.http_jobs.iter().map(|(name, job)| Job { name: name.clone(), period_ms: job.period_ms });
        let check_period_ms = self.health.as_ref().map(|health| health.config().period_ms);
        let health_check =
            |id: &String| Some(Job { name: job_names::health_check(id), period_ms: check_period_ms? });
        let jobs: Vec<Job> = http_jobs.chain(self.backends.keys().filter_map(health_check)).collect();
        let names: BTreeSet<&str> = jobs.iter().map(|job| job.name.as_str()).collect();
        self.local_store.retain_jobs(|job| names.contains(job));
        self.scheduler.set_jobs(now, jobs);
    }

    /// Carries out the scheduler's actions, and those that follow from them.
    pub(super) fn apply_action(&mut self, now: ClockReading, actions: Vec<Action>) {
        let mut pending: VecDeque<Action> = actions.into();
        while let Some(action) = pending.pop_front() {
            let call = match action {
                Action::StartRun(run) => {
                    self.start_run(now, run);
                    continue;
                }
                Action::Notify(notice) => {
                    self.log_notice(now, &notice);
                    continue;
                }
                Action::OpenSession => StoreCall::OpenSession,
                Action::RenewSession(session) => StoreCall::RenewSession(session),
                Action::ReadLeases { call, jobs } => StoreCall::ReadLeases { call, jobs },
                Action::CompareAndSet { call, job, record, expected_index, session } => {
                    StoreCall::CompareAndSet { call, job, record, expected_index, session }
                }
            };
            pending.extend(self.call_store(now, call));
        }
    }

    /// Calls the store; returns the actions that follow at once.
    fn call_store(&mut self, now: ClockReading, call: StoreCall) -> Vec<Action> {
        let response = match &self.resources.store {
            None => call.answer_locally(&mut self.local_store),
            Some(store) => store.offer(call).err().and_then(StoreCall::rejected),
        };
        let mut actions = Vec::new();
        if let Some(response) = response {
            self.apply_store_response(now, response, &mut actions);
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

    /// What a run does; `None` where its job or backend is gone.
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
