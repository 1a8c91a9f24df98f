//! The scheduler of one instance.

mod attempt;
mod job_state;
mod responses;
mod store_connection;

pub use job_state::{JobStatus, LastRun};

use crate::rendezvous::{MemberHash, Members};
use crate::{Action, ClockReading, Config, Job, Notice, ResetReason};
use job_lease::Session;
use job_state::{JobState, Phase};
use std::collections::{BTreeSet, HashMap};
use store_connection::StoreConnection;

/// A difference between the clocks' steps beyond which the Unix clock counts as set, in milliseconds.
const CLOCK_STEP_MS: u64 = 250;
/// The share of a period over which the attempts of all ranks are spread; the rest is left for the run.
const ATTEMPT_SPREAD_PERCENT: u64 = 60;

/// The scheduler of one instance. Actions are appended to the vector that a call is given.
#[derive(Debug)]
pub struct Scheduler {
    config: Config,
    local_member: MemberHash,
    members: Members,
    jobs: Vec<JobState>,
    index_by_name: HashMap<String, usize>,
    /// The jobs that are due, by Unix milliseconds and index.
    due: BTreeSet<(u64, usize)>,
    store: StoreConnection,
    last_clock: Option<ClockReading>,
}

impl Scheduler {
    /// A scheduler without jobs, which knows only its own instance.
    pub fn new(config: Config) -> Self {
        let mut members = Members::default();
        members.replace([config.instance.clone()]);
        Self {
            local_member: MemberHash::of(&config.instance),
            config,
            members,
            jobs: Vec::new(),
            index_by_name: HashMap::new(),
            due: BTreeSet::new(),
            store: StoreConnection::default(),
            last_clock: None,
        }
    }

    /// Replaces the jobs. Those that stay keep what is known about them.
    pub fn set_jobs(&mut self, now: ClockReading, jobs: Vec<Job>) {
        let mut before: HashMap<String, JobState> =
            std::mem::take(&mut self.jobs).into_iter().map(|state| (state.job.name.clone(), state)).collect();
        self.index_by_name.clear();
        self.due.clear();
        for job in jobs {
            if job.period_ms == 0 || self.index_by_name.contains_key(&job.name) {
                continue;
            }
            let mut state = before
                .remove(&job.name)
                .unwrap_or_else(|| JobState::new(job.clone(), &self.members, self.config.standbys + 1));
            state.job = job;
            state.due_unix_ms = None;
            self.index_by_name.insert(state.job.name.clone(), self.jobs.len());
            self.jobs.push(state);
        }
        self.plan_all(now);
    }

    /// Replaces the live members; this instance always counts as one.
    pub fn set_members(&mut self, now: ClockReading, names: impl IntoIterator<Item = String>) {
        let local = self.config.instance.clone();
        let change = self.members.replace(names.into_iter().chain([local]));
        if change.is_empty() {
            return;
        }
        for index in 0..self.jobs.len() {
            if self.jobs[index].ranking.update(&self.members, &change) {
                self.plan(index, now);
            }
        }
    }

    /// When [`Scheduler::tick`] is to be called next, in Unix milliseconds.
    pub fn next_tick_unix_ms(&self) -> Option<u64> {
        self.due.first().map(|&(unix_ms, _)| unix_ms)
    }

    /// The status of all jobs, for the console.
    pub fn job_statuses(&self) -> Vec<JobStatus> {
        self.jobs.iter().map(|state| state.status(&self.members, self.local_member)).collect()
    }

    /// Whether the store counts as unavailable.
    pub fn is_store_unavailable(&self) -> bool {
        self.store.is_unavailable()
    }

    /// The session, to be ended on shutdown.
    pub fn session(&self) -> Option<&Session> {
        self.store.session()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: ClockReading, out: &mut Vec<Action>) {
        self.detect_clock_step(now, out);
        if self.jobs.is_empty() {
            return;
        }
        if let Some(session) = self.store.begin_renewal(now, self.config.session_renewal_ms) {
            out.push(Action::RenewSession(session));
        }
        let mut reads = Vec::new();
        while let Some(&(unix_ms, index)) = self.due.first() {
            if unix_ms > now.unix_ms {
                break;
            }
            self.due.pop_first();
            self.jobs[index].due_unix_ms = None;
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
        out.push(Action::ReadLeases { call, jobs });
    }

    fn detect_clock_step(&mut self, now: ClockReading, out: &mut Vec<Action>) {
        if let Some(before) = self.last_clock.replace(now) {
            let unix_step_ms = now.unix_ms as i64 - before.unix_ms as i64;
            let monotonic_step_ms = now.monotonic_ms.saturating_sub(before.monotonic_ms) as i64;
            if unix_step_ms.abs_diff(monotonic_step_ms) > CLOCK_STEP_MS {
                let by_ms = unix_step_ms - monotonic_step_ms;
                out.push(Action::Notify(Notice::ClockStepped { by_ms }));
                self.plan_all(now);
            }
        }
    }

    fn plan_all(&mut self, now: ClockReading) {
        for index in 0..self.jobs.len() {
            self.plan(index, now);
        }
    }

    /// Schedules a job's next attempt: at this instance's rank in the first run that is not settled.
    fn plan(&mut self, index: usize, now: ClockReading) {
        let state = &self.jobs[index];
        if state.phase != Phase::Idle {
            return;
        }
        let Some(rank) = state.ranking.rank(self.local_member) else {
            self.cancel_attempt(index);
            return;
        };
        let mut run = state.job.run_at(now.unix_ms);
        if state.settled >= run {
            run = state.job.run_after(state.settled);
        }
        let stagger_ms = self.stagger_ms(state.job.period_ms);
        let mut unix_ms = run.scheduled_unix_ms() + rank as u64 * stagger_ms;
        if rank > 0 {
            // Attempts that fall close together share one read.
            let grid_ms = (stagger_ms / 2).max(1);
            unix_ms = unix_ms.div_ceil(grid_ms) * grid_ms;
        }
        self.schedule_attempt(index, unix_ms.max(now.unix_ms));
    }

    /// Tries a job again in the same run, a little later.
    fn retry_later(&mut self, index: usize, now: ClockReading) {
        let stagger_ms = self.stagger_ms(self.jobs[index].job.period_ms);
        self.schedule_attempt(index, now.unix_ms + stagger_ms);
    }

    /// The time between the attempts of two successive ranks. The last attempt leaves time for the run.
    fn stagger_ms(&self, period_ms: u64) -> u64 {
        let ranks = self.config.standbys as u64 + 1;
        (period_ms * ATTEMPT_SPREAD_PERCENT / 100 / ranks).max(1)
    }

    fn schedule_attempt(&mut self, index: usize, unix_ms: u64) {
        self.cancel_attempt(index);
        self.jobs[index].due_unix_ms = Some(unix_ms);
        self.due.insert((unix_ms, index));
    }

    fn cancel_attempt(&mut self, index: usize) {
        if let Some(unix_ms) = self.jobs[index].due_unix_ms.take() {
            self.due.remove(&(unix_ms, index));
        }
    }

    /// Forgets all that is known about the store's keys, since it does not hold any more.
    fn reset_store(&mut self, now: ClockReading, reason: ResetReason, out: &mut Vec<Action>) {
        if self.store.reset() {
            out.push(Action::Notify(Notice::StoreReset(reason)));
        }
        for index in 0..self.jobs.len() {
            let state = &mut self.jobs[index];
            state.known = None;
            // A lease that was being written is void or stands under its id: a read shows which.
            state.phase = match state.phase {
                Phase::Writing { seed: false, .. } => Phase::Uncertain { read: None },
                Phase::Uncertain { read } => Phase::Uncertain { read },
                _ => Phase::Idle,
            };
            if state.ranking.rank(self.local_member).is_some() {
                self.schedule_attempt(index, now.unix_ms);
            }
        }
    }
}

#[cfg(test)]
mod tests;
