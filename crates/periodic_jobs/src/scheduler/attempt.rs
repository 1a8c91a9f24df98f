//! The steps of an attempt at a run, from the time when it is due to the start of the run.

use super::jobs::{LastRun, Phase};
use super::{LeaseRead, Scheduler};
use crate::rendezvous::stable_hash;
use crate::{Action, ClockReading, Config, Notice, Run, StoreCall};
use job_lease::{ABSENT_KEY_INDEX, AcquireRequest, Decision, LeaseRecord, RunId, decide};
use timestamps::UnixTime;

impl Scheduler {
    /// Attempts a job's run of the current period. Adds the job to `read` if its lease must be read first. The attempt that was due
    /// is no longer queued then: the job awaits a response, or its next attempt is scheduled.
    pub(super) fn attempt_run(
        &mut self,
        job_index: usize,
        now: ClockReading,
        read: &mut Option<LeaseRead>,
        actions: &mut Vec<Action>,
    ) {
        if !self.prepare_attempt(job_index, now) {
            return;
        }
        if !self.is_store_ready(now, actions) {
            self.retry_later(job_index, now);
            return;
        }
        let state = &self.jobs[job_index];
        let is_owner = state.ranking.rank(self.local_member) == Some(0);
        let is_lease_known = state.cached_lease.is_some() && !state.is_outcome_unknown;
        // The owner normally wrote the cached lease itself and skips the read. If the cached lease is outdated, the
        // compare-and-set fails.
        if is_owner && is_lease_known && !self.store.is_unavailable() {
            self.continue_attempt(job_index, now, actions);
        } else {
            self.join_read(job_index, read);
        }
    }

    /// Lets a job await the read of the present tick.
    fn join_read(&mut self, job_index: usize, read: &mut Option<LeaseRead>) {
        let store = &mut self.store;
        let read = read.get_or_insert_with(|| LeaseRead { call: store.next_call(), jobs: Vec::new() });
        read.jobs.push(self.jobs[job_index].job.name.clone());
        self.jobs.set_phase(job_index, Phase::Reading(read.call));
    }

    /// Prepares a job for an attempt at the run of the current period. Returns whether to attempt this run now. Otherwise the
    /// next attempt is scheduled.
    fn prepare_attempt(&mut self, job_index: usize, now: ClockReading) -> bool {
        let state = &mut self.jobs[job_index];
        let run = state.job.run_at(now.unix);
        if state.is_outcome_unknown {
            if state.current_run == run {
                return true;
            }
            // The run whose lease this instance may hold is not that of the present period, so it may not start any more. It is
            // not settled: if the clock was stepped back, the runs before it may still be free.
            state.discard_lease();
            self.schedule_next_run(job_index, now);
            return false;
        }
        if state.last_settled_run >= run || state.ranking.rank(self.local_member).is_none() {
            self.schedule_next_run(job_index, now);
            return false;
        }
        if state.current_run != run {
            state.current_run = run;
            state.conflict_count = 0;
        }
        true
    }

    /// Returns whether there is a session and the store may be called. Opens a session if there is none.
    fn is_store_ready(&mut self, now: ClockReading, actions: &mut Vec<Action>) -> bool {
        let retry_interval = self.config.store_retry_interval;
        if self.store.session().is_some() {
            return self.store.may_call(now, retry_interval);
        }
        if self.store.start_opening(now, retry_interval) {
            actions.push(Action::CallStore(StoreCall::OpenSession));
        }
        false
    }

    fn acquire_request(&self, job_index: usize, now: ClockReading) -> AcquireRequest {
        let state = &self.jobs[job_index];
        let Config { instance, incarnation, max_clock_skew, .. } = &self.config;
        let run = state.current_run;
        // The hash differs for each incarnation of an instance. Its lowest bit is set because 0 is the lease id of a seed record.
        let lease_id = stable_hash(&format!("{instance}/{incarnation}/{run}")) | 1;
        let run_if_key_absent = state.job.run_at(now.unix + *max_clock_skew);
        AcquireRequest { run, lease_id, run_if_key_absent }
    }

    /// Continues a job's attempt with the step that follows from the cached lease.
    pub(super) fn continue_attempt(
        &mut self,
        job_index: usize,
        now: ClockReading,
        actions: &mut Vec<Action>,
    ) {
        let request = self.acquire_request(job_index, now);
        let state = &mut self.jobs[job_index];
        let last_run_changed = state.update_last_run();
        if state.job.run_at(now.unix) != request.run {
            // The period of the run ended while the lease was being read.
            self.schedule_next_run(job_index, now);
            return;
        }
        match decide(state.cached_lease.as_ref(), &request) {
            // The job was removed and added again, so it has a new state. The run was acquired for the previous state, which
            // may have started it.
            Decision::AlreadyHeld if state.last_requested_run != request.run => {
                self.accept_settled_run(job_index, now, last_run_changed, actions)
            }
            Decision::Settled => self.accept_settled_run(job_index, now, last_run_changed, actions),
            Decision::AlreadyHeld => {
                let (job, run) = (state.job.name.clone(), request.run);
                actions.push(Action::Notify(Notice::LeaseRecovered { job, run }));
                self.start_run(job_index, now, actions);
            }
            Decision::Seed => {
                self.write_record(job_index, now, request.seed_record(), ABSENT_KEY_INDEX, actions)
            }
            Decision::CompareAndSet { expected_index } => {
                let record = request.lease_record(&self.config.instance);
                self.write_record(job_index, now, record, expected_index, actions);
            }
        }
    }

    /// Gives up a job's current run because the cached lease settles it.
    fn accept_settled_run(
        &mut self,
        job_index: usize,
        now: ClockReading,
        last_run_changed: bool,
        actions: &mut Vec<Action>,
    ) {
        let state = &mut self.jobs[job_index];
        let settled_run = state.cached_lease.as_ref().map_or(RunId::default(), |lease| lease.record.run);
        let latest_plausible = now.unix + state.job.period + 2 * self.config.max_clock_skew;
        let ahead_of_clocks = UnixTime::from(settled_run) > latest_plausible;
        if ahead_of_clocks && last_run_changed {
            let job = state.job.name.clone();
            actions.push(Action::Notify(Notice::RecordAheadOfClock { job, run: settled_run }));
        }
        // A record whose run is ahead of all clocks can come only from an instance whose clock is beyond the maximum skew. Such
        // a record settles only the current run, so the run of the next period is attempted.
        state.last_settled_run = if ahead_of_clocks { state.current_run } else { settled_run };
        self.schedule_next_run(job_index, now);
    }

    /// Writes a job's record by compare-and-set. Without a session, retries the attempt later.
    fn write_record(
        &mut self,
        job_index: usize,
        now: ClockReading,
        record: LeaseRecord,
        expected_index: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(session) = self.store.session().cloned() else {
            self.retry_later(job_index, now);
            return;
        };
        let call = self.store.next_call();
        let state = &mut self.jobs[job_index];
        if !record.is_seed() {
            state.last_requested_run = record.run;
        }
        let job = state.job.name.clone();
        self.jobs.set_phase(job_index, Phase::Writing { call, is_seed: record.is_seed() });
        actions.push(Action::CallStore(StoreCall::CompareAndSet {
            call,
            job,
            record,
            expected_index,
            session,
        }));
    }

    /// Starts a job's current run, whose lease is confirmed, unless the run has started before or its deadline has passed.
    pub(super) fn start_run(&mut self, job_index: usize, now: ClockReading, actions: &mut Vec<Action>) {
        let state = &mut self.jobs[job_index];
        state.settle_current_run();
        let (job, run) = (state.job.name.clone(), state.current_run);
        state.last_run = Some(LastRun { run, holder: self.config.instance.clone() });
        let period_end = UnixTime::from(run) + state.job.period;
        let deadline = period_end.saturating_sub(self.config.start_margin);
        let time_left = deadline.saturating_since(now.unix);
        let has_started = run <= state.last_started_run;
        if !has_started && time_left.is_zero() {
            actions.push(Action::Notify(Notice::AcquiredTooLate { job, run }));
        } else if !has_started {
            state.last_started_run = run;
            actions.push(Action::StartRun(Run { job, id: run, deadline: now + time_left }));
        }
        self.schedule_next_run(job_index, now);
    }
}
