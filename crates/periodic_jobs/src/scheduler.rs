//! The scheduler of one instance: handles its inputs, and determines when the instance attempts each run.

mod attempt;
mod jobs;
mod responses;
mod store_connection;

pub use jobs::{JobStatus, LastRun, NextStep};

use crate::rendezvous::{MemberHash, Members};
use crate::{Action, CallId, ClockReading, Config, Job, Notice, ResetReason, StoreCall};
use job_lease::{RunId, Session};
use jobs::{JobState, Jobs, Phase};
use std::time::Duration;
use store_connection::StoreConnection;
use timestamps::{UnixTime, whole_millis};

/// Minimum size of a step of the Unix clock. The clock counts as stepped if, since the last reading, it has advanced by this
/// much more or less than the monotonic clock.
const MIN_CLOCK_STEP: Duration = Duration::from_millis(250);
/// The percentage of a period over which the attempts of all ranks are spread. The rest remains for the run.
const ATTEMPT_SPREAD_PERCENT: u64 = 60;

/// A call that reads the leases of all jobs whose attempts at one tick begin with a read.
struct LeaseRead {
    call: CallId,
    /// The names of the jobs.
    jobs: Vec<String>,
}

/// The scheduler of one instance. Its methods append the resulting actions to `actions`.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    local_member: MemberHash,
    members: Members,
    jobs: Jobs,
    store: StoreConnection,
    /// The clock reading of the last tick. Before the first tick, that of the first call of [`Scheduler::set_jobs`].
    last_clock_reading: Option<ClockReading>,
}

impl Scheduler {
    /// Creates a scheduler that has no jobs and whose only live member is this instance.
    pub fn new(config: Config) -> Self {
        let mut members = Members::default();
        members.replace([config.instance.clone()]);
        Self {
            local_member: MemberHash::from_name(&config.instance),
            config,
            members,
            jobs: Jobs::default(),
            store: StoreConnection::default(),
            last_clock_reading: None,
        }
    }

    /// Replaces the jobs. A job whose name remains keeps its state. A job with a period below one millisecond, or with the
    /// name of an earlier job in the list, is ignored.
    pub fn set_jobs(&mut self, now: ClockReading, jobs: Vec<Job>) {
        self.last_clock_reading.get_or_insert(now);
        let max_ranks = self.config.standbys + 1;
        self.jobs.replace(jobs, |job| JobState::new(job, &self.members, max_ranks));
        self.reschedule_all(now);
    }

    /// Replaces the live members. This instance is always one of them, even if `names` does not contain it.
    pub fn set_members(&mut self, now: ClockReading, names: impl IntoIterator<Item = String>) {
        let local_name = self.config.instance.clone();
        let change = self.members.replace(names.into_iter().chain([local_name]));
        if change.is_empty() {
            return;
        }
        for job_index in self.jobs.indexes() {
            if self.jobs[job_index].ranking.update(&self.members, &change) {
                self.reschedule(job_index, now);
            }
        }
    }

    /// Returns the time at which the next attempt is due. The driver must call [`Scheduler::tick`] at this time at the latest.
    /// `None` if no attempt is scheduled.
    pub fn next_tick(&self) -> Option<UnixTime> {
        self.jobs.next_attempt_at()
    }

    /// Returns the status of all jobs, in the order in which they were set.
    pub fn job_statuses(&self) -> Vec<JobStatus> {
        self.jobs.iter().map(|state| state.status(&self.members, self.local_member)).collect()
    }

    /// Returns whether the last calls to the lease store have failed, so that no run starts.
    pub fn is_store_unavailable(&self) -> bool {
        self.store.is_unavailable()
    }

    /// Returns the current session, which the driver must end on shutdown. `None` if no session is open.
    pub fn session(&self) -> Option<&Session> {
        self.store.session()
    }

    /// Renews the session with the lease store if its renewal is due, and attempts the runs that are due.
    pub fn tick(&mut self, now: ClockReading, actions: &mut Vec<Action>) {
        self.detect_clock_step(now, actions);
        if self.jobs.is_empty() {
            return;
        }
        if let Some(session) = self.store.start_renewal(now, self.config.session_renewal_interval) {
            actions.push(Action::CallStore(StoreCall::RenewSession(session)));
        }
        let mut read = None;
        while let Some(job_index) = self.jobs.first_due_attempt(now.unix) {
            self.attempt_run(job_index, now, &mut read, actions);
        }
        if let Some(LeaseRead { call, jobs }) = read {
            actions.push(Action::CallStore(StoreCall::ReadLeases { call, jobs }));
        }
    }

    /// Detects a step of the Unix clock since the last tick. After a step, schedules all queued attempts again, because their
    /// times are times before the step.
    fn detect_clock_step(&mut self, now: ClockReading, actions: &mut Vec<Action>) {
        let Some(previous) = self.last_clock_reading.replace(now) else { return };
        let by_ms = now.unix_step_ms_since(previous);
        if Duration::from_millis(by_ms.unsigned_abs()) > MIN_CLOCK_STEP {
            actions.push(Action::Notify(Notice::ClockStepped { by_ms }));
            self.reschedule_all(now);
        }
    }

    /// Schedules all queued attempts again after the clock or the jobs have changed. The times of attempts that read a lease may
    /// depend on the clock before a step or on the previous period of the job, so these attempts are due at once.
    fn reschedule_all(&mut self, now: ClockReading) {
        for job_index in self.jobs.indexes() {
            let state = &self.jobs[job_index];
            if state.is_outcome_unknown && matches!(state.phase(), Phase::Waiting { .. }) {
                self.attempt_at(job_index, now.unix);
            } else {
                self.reschedule(job_index, now);
            }
        }
    }

    /// Schedules a job's next attempt again, unless the job has a call in flight, whose response continues the attempt, or the
    /// outcome of its last write is unknown: this instance may hold the lease, so the attempt that reads it stays queued
    /// whatever the rank is.
    fn reschedule(&mut self, job_index: usize, now: ClockReading) {
        let state = &self.jobs[job_index];
        let has_call_in_flight = matches!(state.phase(), Phase::Reading(_) | Phase::Writing { .. });
        if !has_call_in_flight && !state.is_outcome_unknown {
            self.schedule_next_run(job_index, now);
        }
    }

    /// Schedules a job's next attempt at the first run that is not settled. The attempt is delayed according to this
    /// instance's rank. If this instance is neither owner nor standby, no attempt is scheduled.
    fn schedule_next_run(&mut self, job_index: usize, now: ClockReading) {
        let state = &self.jobs[job_index];
        let Some(rank) = state.ranking.rank(self.local_member) else {
            self.jobs.set_phase(job_index, Phase::Unranked);
            return;
        };
        let mut run = state.job.run_at(now.unix);
        if state.last_settled_run >= run {
            run = state.job.run_after(state.last_settled_run);
        }
        let due_at = self.attempt_due_at(&state.job, run, rank);
        self.attempt_at(job_index, due_at.max(now.unix));
    }

    /// Schedules a job's next attempt at this time.
    fn attempt_at(&mut self, job_index: usize, attempt_at: UnixTime) {
        self.jobs.set_phase(job_index, Phase::Waiting { attempt_at });
    }

    /// Returns the time at which the member with this rank attempts a run.
    fn attempt_due_at(&self, job: &Job, run: RunId, rank: usize) -> UnixTime {
        let scheduled = UnixTime::from(run);
        if rank == 0 {
            return scheduled;
        }
        let stagger_ms = whole_millis(self.stagger(job));
        let due_unix_ms = scheduled.as_millis() + rank as u64 * stagger_ms;
        // The time is rounded up, so that attempts of several jobs at almost the same time share one read of the lease store.
        let granularity_ms = (stagger_ms / 2).max(1);
        UnixTime::from_millis(due_unix_ms.next_multiple_of(granularity_ms))
    }

    /// Schedules another attempt at a job's current run, one stagger interval from now.
    fn retry_later(&mut self, job_index: usize, now: ClockReading) {
        let stagger = self.stagger(&self.jobs[job_index].job);
        self.attempt_at(job_index, now.unix + stagger);
    }

    /// Returns the delay between the attempts of members with successive ranks. After the attempt of the last rank, enough of
    /// the period remains for the run.
    fn stagger(&self, job: &Job) -> Duration {
        let ranks = self.config.standbys as u64 + 1;
        let stagger_ms = whole_millis(job.period) * ATTEMPT_SPREAD_PERCENT / 100 / ranks;
        Duration::from_millis(stagger_ms.max(1))
    }

    /// Discards the session and all cached leases, and schedules an attempt of every job of which this instance is owner or
    /// standby or may hold the lease. The calls in flight are no longer awaited.
    fn reset_store(&mut self, now: ClockReading, reason: ResetReason, actions: &mut Vec<Action>) {
        if self.store.reset() {
            actions.push(Action::Notify(Notice::StoreReset(reason)));
        }
        for job_index in self.jobs.indexes() {
            let state = &mut self.jobs[job_index];
            state.cached_lease = None;
            // The write in flight may or may not be applied. Reading the lease resolves its outcome.
            state.is_outcome_unknown |= matches!(state.phase(), Phase::Writing { is_seed: false, .. });
            if state.is_outcome_unknown || state.ranking.rank(self.local_member).is_some() {
                self.attempt_at(job_index, now.unix);
            } else {
                self.jobs.set_phase(job_index, Phase::Unranked);
            }
        }
    }
}
