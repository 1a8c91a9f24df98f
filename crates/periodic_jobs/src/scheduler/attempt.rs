//! The attempt at a run, from its due moment to the start of the run.

use super::Scheduler;
use super::job_state::{LastRun, Phase};
use crate::rendezvous::stable_hash;
use crate::{Action, ClockReading, Config, Notice, Run, StoreCall};
use job_lease::{ABSENT_KEY_INDEX, AcquireRequest, Decision, LeaseRecord, RunId, decide};
use timestamps::UnixTime;

impl Scheduler {
    /// Attempts the run of the current period. Adds the job to `reads` if its lease must be read first.
    pub(super) fn attempt(
        &mut self,
        index: usize,
        now: ClockReading,
        reads: &mut Vec<usize>,
        out: &mut Vec<Action>,
    ) {
        if !self.prepare_attempt(index, now) {
            return;
        }
        if !self.is_store_ready(now, out) {
            self.retry_later(index, now);
            return;
        }
        let state = &self.jobs[index];
        let is_owner = state.ranking.rank(self.local_member) == Some(0);
        let is_lease_known = state.cached_lease.is_some() && !matches!(state.phase, Phase::Uncertain { .. });
        // The owner wrote the cached lease itself and can skip the read.
        if is_owner && is_lease_known && !self.store.is_unavailable() {
            self.continue_attempt(index, now, out);
        } else {
            reads.push(index);
        }
    }

    /// Sets the current run of a job. Returns whether there is a run to attempt.
    fn prepare_attempt(&mut self, index: usize, now: ClockReading) -> bool {
        let state = &mut self.jobs[index];
        let run = state.job.run_at(now.unix);
        match state.phase {
            Phase::Idle => {
                if state.settled >= run || state.ranking.rank(self.local_member).is_none() {
                    self.schedule_next_run(index, now);
                    return false;
                }
                if state.current_run != run {
                    state.current_run = run;
                    state.conflicts = 0;
                }
                true
            }
            Phase::Uncertain { .. } if state.current_run == run => true,
            // The period of the uncertain run is over. Even if it was acquired, it may no longer start.
            Phase::Uncertain { .. } => {
                state.settle_current_run();
                state.abandon_attempt();
                self.schedule_next_run(index, now);
                false
            }
            // The response to the pending call continues the attempt.
            Phase::Reading(_) | Phase::Writing { .. } => false,
        }
    }

    /// Returns whether there is a session and a call may be made. Opens a session if there is none.
    fn is_store_ready(&mut self, now: ClockReading, out: &mut Vec<Action>) -> bool {
        let retry_interval = self.config.store_retry_interval;
        if self.store.session().is_some() {
            return self.store.may_call(now, retry_interval);
        }
        if self.store.start_opening(now, retry_interval) {
            out.push(Action::CallStore(StoreCall::OpenSession));
        }
        false
    }

    fn acquire_request(&self, index: usize, now: ClockReading) -> AcquireRequest {
        let state = &self.jobs[index];
        let Config { instance, incarnation, max_clock_skew, .. } = &self.config;
        let run = state.current_run;
        // Never 0, which marks a seed, and different for each incarnation.
        let lease_id = stable_hash(&format!("{instance}/{incarnation}/{run}")) | 1;
        let seed_run = state.job.run_at(now.unix + *max_clock_skew);
        AcquireRequest { run, lease_id, seed_run }
    }

    /// Continues an attempt from the cached lease.
    pub(super) fn continue_attempt(&mut self, index: usize, now: ClockReading, out: &mut Vec<Action>) {
        let request = self.acquire_request(index, now);
        let state = &mut self.jobs[index];
        let last_run_changed = state.update_last_run();
        if state.job.run_at(now.unix) != request.run {
            // The period of the run ended before the response arrived.
            state.phase = Phase::Idle;
            self.schedule_next_run(index, now);
            return;
        }
        match decide(state.cached_lease.as_ref(), &request) {
            Decision::Settled => self.accept_settled_run(index, now, last_run_changed, out),
            Decision::AlreadyHeld => {
                let (job, run) = (state.job.name.clone(), request.run);
                out.push(Action::Notify(Notice::LeaseRecovered { job, run }));
                self.start_run(index, now, out);
            }
            Decision::Seed => self.write_record(index, now, request.seed_record(), ABSENT_KEY_INDEX, out),
            Decision::CompareAndSet { expected_index } => {
                let record = request.lease_record(&self.config.instance);
                self.write_record(index, now, record, expected_index, out);
            }
        }
    }

    /// Gives up the current run because the cached lease settles it.
    fn accept_settled_run(
        &mut self,
        index: usize,
        now: ClockReading,
        last_run_changed: bool,
        out: &mut Vec<Action>,
    ) {
        let state = &mut self.jobs[index];
        let settled = state.cached_lease.as_ref().map_or(RunId::default(), |lease| lease.record.run);
        let latest = now.unix + state.job.period + 2 * self.config.max_clock_skew;
        let ahead_of_clocks = UnixTime::from(settled) > latest;
        if ahead_of_clocks && last_run_changed {
            let job = state.job.name.clone();
            out.push(Action::Notify(Notice::RecordAheadOfClock { job, run: settled }));
        }
        // No clock within the maximum skew can have written such a record. Read it again in each run.
        state.settled = if ahead_of_clocks { state.current_run } else { settled };
        state.phase = Phase::Idle;
        self.schedule_next_run(index, now);
    }

    /// Writes a record by compare-and-set.
    fn write_record(
        &mut self,
        index: usize,
        now: ClockReading,
        record: LeaseRecord,
        expected_index: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(session) = self.store.session().cloned() else {
            self.jobs[index].phase = Phase::Idle;
            self.retry_later(index, now);
            return;
        };
        let call = self.store.next_call();
        let state = &mut self.jobs[index];
        state.phase = Phase::Writing { call, seed: record.is_seed() };
        let job = state.job.name.clone();
        out.push(Action::CallStore(StoreCall::CompareAndSet { call, job, record, expected_index, session }));
    }

    /// Starts the current run, whose lease is confirmed, unless its deadline has passed.
    pub(super) fn start_run(&mut self, index: usize, now: ClockReading, out: &mut Vec<Action>) {
        let state = &mut self.jobs[index];
        state.phase = Phase::Idle;
        state.settle_current_run();
        let (job, run) = (state.job.name.clone(), state.current_run);
        state.last_run = Some(LastRun { run, holder: self.config.instance.clone() });
        let period_end = UnixTime::from(run) + state.job.period;
        let deadline = period_end.saturating_sub(self.config.start_margin);
        let time_left = deadline.saturating_since(now.unix);
        let has_started = run <= state.last_run_here;
        if !has_started && time_left.is_zero() {
            out.push(Action::Notify(Notice::AcquiredTooLate { job, run }));
        } else if !has_started {
            state.last_run_here = run;
            out.push(Action::StartRun(Run { job, id: run, deadline: now + time_left }));
        }
        self.schedule_next_run(index, now);
    }
}
