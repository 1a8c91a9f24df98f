//! The scheduler of one instance.

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

/// The difference in progress between the two clocks beyond which the Unix clock counts as stepped.
const MIN_CLOCK_STEP: Duration = Duration::from_millis(250);
/// The percentage of a period over which the attempts of all ranks are spread. The rest remains for the run.
const ATTEMPT_SPREAD_PERCENT: u64 = 60;

/// The scheduler of one instance. Methods append their actions to `out`.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    local_member: MemberHash,
    members: Members,
    jobs: Vec<JobState>,
    index_by_name: HashMap<String, usize>,
    attempts: AttemptQueue,
    store: StoreConnection,
    last_clock: Option<ClockReading>,
}

impl Scheduler {
    /// Creates a scheduler without jobs whose only member is its own instance.
    pub fn new(config: Config) -> Self {
        let mut members = Members::default();
        members.replace([config.instance.clone()]);
        Self {
            local_member: MemberHash::of(&config.instance),
            config,
            members,
            jobs: Vec::new(),
            index_by_name: HashMap::new(),
            attempts: AttemptQueue::default(),
            store: StoreConnection::default(),
            last_clock: None,
        }
    }

    /// Replaces the jobs. Jobs that remain keep their state.
    pub fn set_jobs(&mut self, now: ClockReading, jobs: Vec<Job>) {
        let mut before: HashMap<String, JobState> =
            std::mem::take(&mut self.jobs).into_iter().map(|state| (state.job.name.clone(), state)).collect();
        self.index_by_name.clear();
        self.attempts.clear();
        for job in jobs {
            if whole_millis(job.period) == 0 || self.index_by_name.contains_key(&job.name) {
                continue;
            }
            let mut state = before
                .remove(&job.name)
                .unwrap_or_else(|| JobState::new(job.clone(), &self.members, self.config.standbys + 1));
            state.job = job;
            self.index_by_name.insert(state.job.name.clone(), self.jobs.len());
            self.jobs.push(state);
        }
        self.schedule_all(now);
    }

    /// Replaces the live members. This instance is always one of them.
    pub fn set_members(&mut self, now: ClockReading, names: impl IntoIterator<Item = String>) {
        let local = self.config.instance.clone();
        let change = self.members.replace(names.into_iter().chain([local]));
        if change.is_empty() {
            return;
        }
        for index in 0..self.jobs.len() {
            if self.jobs[index].ranking.update(&self.members, &change) {
                self.schedule_next_run(index, now);
            }
        }
    }

    /// Returns the moment at which [`Scheduler::tick`] must be called next.
    pub fn next_tick(&self) -> Option<UnixTime> {
        self.attempts.next_due()
    }

    /// Returns the status of all jobs.
    pub fn job_statuses(&self) -> Vec<JobStatus> {
        self.jobs.iter().map(|state| state.status(&self.members, self.local_member)).collect()
    }

    /// Returns whether the lease store is unavailable.
    pub fn is_store_unavailable(&self) -> bool {
        self.store.is_unavailable()
    }

    /// Returns the current session. The driver ends it on shutdown.
    pub fn session(&self) -> Option<&Session> {
        self.store.session()
    }

    /// Renews the session and attempts the runs that are due.
    pub fn tick(&mut self, now: ClockReading, out: &mut Vec<Action>) {
        self.detect_clock_step(now, out);
        if self.jobs.is_empty() {
            return;
        }
        if let Some(session) = self.store.start_renewal(now, self.config.session_renewal_interval) {
            out.push(Action::CallStore(StoreCall::RenewSession(session)));
        }
        let mut reads = Vec::new();
        while let Some(index) = self.attempts.pop_due(now.unix) {
            self.attempt(index, now, &mut reads, out);
        }
        if !reads.is_empty() {
            self.read_leases(&reads, out);
        }
    }

    /// Reads the leases of these jobs with one call.
    fn read_leases(&mut self, indexes: &[usize], out: &mut Vec<Action>) {
        let call = self.store.next_call();
        for &index in indexes {
            let phase = &mut self.jobs[index].phase;
            *phase = match phase {
                Phase::Uncertain { .. } => Phase::Uncertain { read: Some(call) },
                _ => Phase::Reading(call),
            };
        }
        let jobs = indexes.iter().map(|&index| self.jobs[index].job.name.clone()).collect();
        out.push(Action::CallStore(StoreCall::ReadLeases { call, jobs }));
    }

    /// Detects a step of the Unix clock and schedules all attempts again.
    fn detect_clock_step(&mut self, now: ClockReading, out: &mut Vec<Action>) {
        let Some(before) = self.last_clock.replace(now) else { return };
        let by_ms = now.unix_step_ms_since(before);
        if Duration::from_millis(by_ms.unsigned_abs()) > MIN_CLOCK_STEP {
            out.push(Action::Notify(Notice::ClockStepped { by_ms }));
            self.schedule_all(now);
        }
    }

    fn schedule_all(&mut self, now: ClockReading) {
        for index in 0..self.jobs.len() {
            self.schedule_next_run(index, now);
        }
    }

    /// Schedules a job's next attempt, delayed by this instance's rank, in the first run that is not settled.
    fn schedule_next_run(&mut self, index: usize, now: ClockReading) {
        let state = &self.jobs[index];
        if state.phase != Phase::Idle {
            return;
        }
        let Some(rank) = state.ranking.rank(self.local_member) else {
            self.attempts.cancel(index);
            return;
        };
        let mut run = state.job.run_at(now.unix);
        if state.settled >= run {
            run = state.job.run_after(state.settled);
        }
        let due_at = self.attempt_due_at(&state.job, run, rank);
        self.attempts.schedule(index, due_at.max(now.unix));
    }

    /// Returns when the instance with this rank attempts a run.
    fn attempt_due_at(&self, job: &Job, run: RunId, rank: usize) -> UnixTime {
        let scheduled = UnixTime::from(run);
        if rank == 0 {
            return scheduled;
        }
        let stagger_ms = whole_millis(self.stagger(job));
        let due_unix_ms = scheduled.as_millis() + rank as u64 * stagger_ms;
        // Round up so that attempts close together share one read.
        let granularity_ms = (stagger_ms / 2).max(1);
        UnixTime::from_millis(due_unix_ms.next_multiple_of(granularity_ms))
    }

    /// Schedules another attempt at the same run.
    fn retry_later(&mut self, index: usize, now: ClockReading) {
        let stagger = self.stagger(&self.jobs[index].job);
        self.attempts.schedule(index, now.unix + stagger);
    }

    /// Returns the delay between the attempts of two successive ranks. The last attempt leaves time for the run.
    fn stagger(&self, job: &Job) -> Duration {
        let ranks = self.config.standbys as u64 + 1;
        let stagger_ms = whole_millis(job.period) * ATTEMPT_SPREAD_PERCENT / 100 / ranks;
        Duration::from_millis(stagger_ms.max(1))
    }

    /// Discards the session and all cached leases, and schedules all attempts again.
    fn reset_store(&mut self, now: ClockReading, reason: ResetReason, out: &mut Vec<Action>) {
        if self.store.reset() {
            out.push(Action::Notify(Notice::StoreReset(reason)));
        }
        for index in 0..self.jobs.len() {
            let state = &mut self.jobs[index];
            state.cached_lease = None;
            // A lease that was being written may or may not be stored. A read resolves it.
            state.phase = match state.phase {
                Phase::Writing { seed: false, .. } => Phase::Uncertain { read: None },
                Phase::Uncertain { read } => Phase::Uncertain { read },
                _ => Phase::Idle,
            };
            if state.ranking.rank(self.local_member).is_some() {
                self.attempts.schedule(index, now.unix);
            }
        }
    }
}
