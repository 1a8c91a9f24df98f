//! The attempt at a run: from the moment it is due to the start of the run.

use super::Scheduler;
use super::job_state::{LastRun, Phase};
use crate::rendezvous::stable_hash;
use crate::{Action, ClockReading, Config, Notice, Run};
use job_lease::{AcquireRequest, Decision, LeaseRecord, RunId, decide};

impl Scheduler {
    /// Attempts the run at the present time. Jobs whose lease has to be read first are added to `reads`.
    pub(super) fn attempt(
        &mut self,
        index: usize,
        now: ClockReading,
        reads: &mut Vec<usize>,
        out: &mut Vec<Action>,
    ) {
        if !self.begin_attempt(index, now) {
            return;
        }
        if !self.is_store_ready(now, out) {
            self.retry_later(index, now);
            return;
        }
        let state = &self.jobs[index];
        let uncertain = matches!(state.phase, Phase::Uncertain { .. });
        let first_rank = state.ranking.rank(self.local_member) == Some(0);
        // The first rank need not read what it wrote itself. All others read first.
        if state.known.is_some() && !uncertain && !self.store.is_unavailable() && first_rank {
            self.proceed(index, now, out);
        } else {
            reads.push(index);
        }
    }

    /// Whether there is a run to attempt.
    fn begin_attempt(&mut self, index: usize, now: ClockReading) -> bool {
        let state = &mut self.jobs[index];
        let run = state.job.run_at(now.unix_ms);
        match state.phase {
            Phase::Idle => {
                if state.settled >= run || state.ranking.rank(self.local_member).is_none() {
                    self.plan(index, now);
                    return false;
                }
                if state.current_run != run {
                    state.current_run = run;
                    state.conflicts = 0;
                }
                true
            }
            Phase::Uncertain { .. } if state.current_run == run => true,
            // The uncertain run is over: whether it was acquired no longer matters, since it may not start.
            Phase::Uncertain { .. } => {
                state.phase = Phase::Idle;
                state.settle_current_run();
                state.known = None;
                self.plan(index, now);
                false
            }
            // The response continues the attempt.
            Phase::Reading(_) | Phase::Writing { .. } => false,
        }
    }

    /// Whether there is a session and a call may be made. Opens a session where there is none.
    fn is_store_ready(&mut self, now: ClockReading, out: &mut Vec<Action>) -> bool {
        let retry_ms = self.config.store_retry_ms;
        if self.store.session().is_some() {
            return self.store.may_call(now, retry_ms);
        }
        if self.store.begin_opening(now, retry_ms) {
            out.push(Action::OpenSession);
        }
        false
    }

    fn acquire_request(&self, index: usize, now: ClockReading) -> AcquireRequest {
        let state = &self.jobs[index];
        let Config { instance, incarnation, max_clock_skew_ms, .. } = &self.config;
        let run = state.current_run;
        // Never 0, which is a seed's, and never that of another start of the program.
        let lease_id = stable_hash(&format!("{instance}/{incarnation}/{run}")) | 1;
        AcquireRequest { run, lease_id, seed_run: state.job.run_at(now.unix_ms + max_clock_skew_ms) }
    }

    /// Continues an attempt by what is known about the key.
    pub(super) fn proceed(&mut self, index: usize, now: ClockReading, out: &mut Vec<Action>) {
        let request = self.acquire_request(index, now);
        let state = &mut self.jobs[index];
        let last_run_changed = state.note_last_run();
        if state.job.run_at(now.unix_ms) != request.run {
            // The response took longer than the run's period.
            state.phase = Phase::Idle;
            self.plan(index, now);
            return;
        }
        match decide(state.known.as_ref(), &request) {
            Decision::Settled => self.settle(index, now, last_run_changed, out),
            Decision::AlreadyHeld => {
                let (job, run) = (state.job.name.clone(), request.run);
                out.push(Action::Notify(Notice::LeaseRecovered { job, run }));
                self.start_run(index, now, out);
            }
            Decision::Seed => self.write(index, now, request.seed_record(), 0, out),
            Decision::CompareAndSet { expected_index } => {
                let record = request.lease_record(&self.config.instance);
                self.write(index, now, record, expected_index, out);
            }
        }
    }

    /// Leaves a run that the known record settles.
    fn settle(&mut self, index: usize, now: ClockReading, last_run_changed: bool, out: &mut Vec<Action>) {
        let state = &mut self.jobs[index];
        let settled = state.known.as_ref().map_or(RunId::default(), |known| known.record.run);
        let latest_ms = now.unix_ms + state.job.period_ms + 2 * self.config.max_clock_skew_ms;
        let ahead = settled.scheduled_unix_ms() > latest_ms;
        if ahead && last_run_changed {
            let job = state.job.name.clone();
            out.push(Action::Notify(Notice::RecordAheadOfClock { job, run: settled }));
        }
        // A record that no clock within the bound can have written is checked again in each run.
        state.settled = if ahead { state.current_run } else { settled };
        state.phase = Phase::Idle;
        self.plan(index, now);
    }

    fn write(
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
        out.push(Action::CompareAndSet { call, job, record, expected_index, session });
    }

    /// Starts the current run, whose lease is confirmed, if there is time.
    pub(super) fn start_run(&mut self, index: usize, now: ClockReading, out: &mut Vec<Action>) {
        let state = &mut self.jobs[index];
        state.phase = Phase::Idle;
        state.settle_current_run();
        let (job, id) = (state.job.name.clone(), state.current_run);
        state.last_run = Some(LastRun { run: id, holder: self.config.instance.clone() });
        let period_end_ms = id.scheduled_unix_ms() + state.job.period_ms;
        let deadline_ms = period_end_ms.saturating_sub(self.config.start_margin_ms);
        if id > state.last_run_here {
            if now.unix_ms < deadline_ms {
                state.last_run_here = id;
                let deadline = ClockReading {
                    unix_ms: deadline_ms,
                    monotonic_ms: now.monotonic_ms + (deadline_ms - now.unix_ms),
                };
                out.push(Action::StartRun(Run { job, id, deadline }));
            } else {
                out.push(Action::Notify(Notice::AcquiredTooLate { job, run: id }));
            }
        }
        self.plan(index, now);
    }
}
