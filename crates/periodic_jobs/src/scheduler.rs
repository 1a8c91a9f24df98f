//! The scheduler of one instance: handles its inputs, and determines when the instance attempts each run.

mod attempt;
mod attempt_queue;
mod job_state;
mod responses;
mod store_connection;

pub use job_state::{JobStatus, LastRun};

use crate::rendezvous::{MemberHash, Members};
use crate::{Action, ClockReading, Config, Job, Notice, ResetReason, StoreCall};
use attempt_queue::AttemptQueue;
use job_lease::{RunId, Session};
use job_state::{JobState, Phase};
use std::collections::HashMap;
use std::time::Duration;
use store_connection::StoreConnection;
use timestamps::{UnixTime, whole_millis};

/// Minimum size of a step of the Unix clock. The clock counts as stepped if, since the last reading, it has advanced by this
/// much more or less than the monotonic clock.
const MIN_CLOCK_STEP: Duration = Duration::from_millis(250);
/// The percentage of a period over which the attempts of all ranks are spread. The rest remains for the run.
const ATTEMPT_SPREAD_PERCENT: u64 = 60;

/// The scheduler of one instance. Its methods append the resulting actions to `actions`.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    local_member: MemberHash,
    members: Members,
    jobs: Vec<JobState>,
    /// The index in `jobs` by job name.
    index_by_name: HashMap<String, usize>,
    attempts: AttemptQueue,
    store: StoreConnection,
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
            jobs: Vec::new(),
            index_by_name: HashMap::new(),
            attempts: AttemptQueue::default(),
            store: StoreConnection::default(),
            last_clock_reading: None,
        }
    }

    /// Replaces the jobs. A job whose name remains keeps its state. A job with a period below one millisecond, or with the
    /// name of an earlier job in the list, is ignored.
    pub fn set_jobs(&mut self, now: ClockReading, jobs: Vec<Job>) {
        let mut previous: HashMap<String, JobState> =
            std::mem::take(&mut self.jobs).into_iter().map(|state| (state.job.name.clone(), state)).collect();
        self.index_by_name.clear();
        self.attempts.clear();
        for job in jobs {
            if whole_millis(job.period) == 0 || self.index_by_name.contains_key(&job.name) {
                continue;
            }
            let mut state = previous
                .remove(&job.name)
                .unwrap_or_else(|| JobState::new(job.clone(), &self.members, self.config.standbys + 1));
            state.job = job;
            self.index_by_name.insert(state.job.name.clone(), self.jobs.len());
            self.jobs.push(state);
        }
        self.schedule_all(now);
    }

    /// Replaces the live members. This instance is always one of them, even if `names` does not contain it.
    pub fn set_members(&mut self, now: ClockReading, names: impl IntoIterator<Item = String>) {
        let local_name = self.config.instance.clone();
        let change = self.members.replace(names.into_iter().chain([local_name]));
        if change.is_empty() {
            return;
        }
        for job_index in 0..self.jobs.len() {
            if self.jobs[job_index].ranking.update(&self.members, &change) {
                self.schedule_next_run(job_index, now);
            }
        }
    }

    /// Returns the time at which the next attempt is due. The driver must call [`Scheduler::tick`] at this time at the latest.
    /// `None` if no attempt is scheduled.
    pub fn next_tick(&self) -> Option<UnixTime> {
        self.attempts.next_due()
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
        let mut jobs_to_read = Vec::new();
        while let Some(job_index) = self.attempts.pop_due(now.unix) {
            self.attempt_run(job_index, now, &mut jobs_to_read, actions);
        }
        if !jobs_to_read.is_empty() {
            self.read_leases(&jobs_to_read, actions);
        }
    }

    /// Reads the leases of these jobs with one call.
    fn read_leases(&mut self, job_indexes: &[usize], actions: &mut Vec<Action>) {
        let call = self.store.next_call();
        for &job_index in job_indexes {
            let phase = &mut self.jobs[job_index].phase;
            *phase = match phase {
                Phase::Uncertain { .. } => Phase::Uncertain { pending_read: Some(call) },
                _ => Phase::Reading(call),
            };
        }
        let jobs = job_indexes.iter().map(|&job_index| self.jobs[job_index].job.name.clone()).collect();
        actions.push(Action::CallStore(StoreCall::ReadLeases { call, jobs }));
    }

    /// Detects a step of the Unix clock since the last tick. After a step, schedules all attempts again.
    fn detect_clock_step(&mut self, now: ClockReading, actions: &mut Vec<Action>) {
        let Some(previous) = self.last_clock_reading.replace(now) else { return };
        let by_ms = now.unix_step_ms_since(previous);
        if Duration::from_millis(by_ms.unsigned_abs()) > MIN_CLOCK_STEP {
            actions.push(Action::Notify(Notice::ClockStepped { by_ms }));
            self.schedule_all(now);
        }
    }

    fn schedule_all(&mut self, now: ClockReading) {
        for job_index in 0..self.jobs.len() {
            self.schedule_next_run(job_index, now);
        }
    }

    /// Schedules an idle job's next attempt, at the first run that is not settled. The attempt is delayed according to this
    /// instance's rank.
    fn schedule_next_run(&mut self, job_index: usize, now: ClockReading) {
        let state = &self.jobs[job_index];
        if state.phase != Phase::Idle {
            return;
        }
        let Some(rank) = state.ranking.rank(self.local_member) else {
            self.attempts.cancel(job_index);
            return;
        };
        let mut run = state.job.run_at(now.unix);
        if state.last_settled_run >= run {
            run = state.job.run_after(state.last_settled_run);
        }
        let due_at = self.attempt_due_at(&state.job, run, rank);
        self.attempts.schedule(job_index, due_at.max(now.unix));
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
        self.attempts.schedule(job_index, now.unix + stagger);
    }

    /// Returns the delay between the attempts of members with successive ranks. After the attempt of the last rank, enough of
    /// the period remains for the run.
    fn stagger(&self, job: &Job) -> Duration {
        let ranks = self.config.standbys as u64 + 1;
        let stagger_ms = whole_millis(job.period) * ATTEMPT_SPREAD_PERCENT / 100 / ranks;
        Duration::from_millis(stagger_ms.max(1))
    }

    /// Discards the session and all cached leases, and schedules an attempt of every job of which this instance is owner or
    /// standby.
    fn reset_store(&mut self, now: ClockReading, reason: ResetReason, actions: &mut Vec<Action>) {
        if self.store.reset() {
            actions.push(Action::Notify(Notice::StoreReset(reason)));
        }
        for job_index in 0..self.jobs.len() {
            let state = &mut self.jobs[job_index];
            state.cached_lease = None;
            // The pending write of a lease may or may not be applied. Reading the lease resolves its outcome.
            state.phase = match state.phase {
                Phase::Writing { is_seed: false, .. } => Phase::Uncertain { pending_read: None },
                Phase::Uncertain { pending_read } => Phase::Uncertain { pending_read },
                _ => Phase::Idle,
            };
            if state.ranking.rank(self.local_member).is_some() {
                self.attempts.schedule(job_index, now.unix);
            }
        }
    }
}
