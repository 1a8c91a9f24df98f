//! The handling of the store's responses.

use super::Scheduler;
use super::job_state::Phase;
use crate::{Action, CallId, ClockReading, Notice, ResetReason};
use job_lease::{CompareAndSetOutcome, LeaseListing, LeaseRecord, Session, StoreError, StoredLease};

/// Conflicting writes in a run after which it is left: another instance is at work on it.
const MAX_CONFLICTS: u8 = 3;

impl Scheduler {
    /// Handles the response to [`Action::OpenSession`].
    pub fn session_opened(
        &mut self,
        now: ClockReading,
        response: Result<Session, StoreError>,
        out: &mut Vec<Action>,
    ) {
        self.store.end_opening();
        match response {
            Ok(session) => {
                self.store.opened(now, session);
                self.store.record_success(out);
                self.tick(now, out);
            }
            Err(error) => self.store.record_failure(&error, out),
        }
    }

    /// Handles the response to [`Action::RenewSession`]: whether the session still exists.
    pub fn session_renewed(
        &mut self,
        now: ClockReading,
        session: &Session,
        response: Result<bool, StoreError>,
        out: &mut Vec<Action>,
    ) {
        if self.store.session() != Some(session) {
            return;
        }
        match response {
            Ok(true) => self.store.end_renewal(now.monotonic_ms),
            Ok(false) => {
                self.store.abandon_renewal();
                self.reset_store(now, ResetReason::SessionEnded, out);
            }
            Err(error) => {
                // Tried again soon; a session that ends meanwhile is noticed by the next write.
                let elapsed_ms = self.config.session_renewal_ms * 9 / 10;
                self.store.end_renewal(now.monotonic_ms.saturating_sub(elapsed_ms));
                self.store.record_failure(&error, out);
            }
        }
    }

    /// Handles the response to [`Action::ReadLeases`].
    pub fn leases_read(
        &mut self,
        now: ClockReading,
        call: CallId,
        jobs: &[String],
        response: Result<LeaseListing, StoreError>,
        out: &mut Vec<Action>,
    ) {
        match response {
            // Sent before the store came back empty.
            Ok(_) if !self.store.is_valid_call(call) => {}
            Ok(listing) => {
                self.store.record_success(out);
                if self.store.index_decreased(listing.store_index) {
                    self.reset_store(now, ResetReason::IndexDecreased, out);
                } else {
                    self.apply_listing(now, call, listing, out);
                }
            }
            Err(error) => {
                self.store.record_failure(&error, out);
                self.retry_reads(now, call, jobs);
            }
        }
    }

    fn apply_listing(
        &mut self,
        now: ClockReading,
        call: CallId,
        listing: LeaseListing,
        out: &mut Vec<Action>,
    ) {
        for listed in listing.leases {
            if let Some(index) = self.awaiting_read(&listed.job, call) {
                self.jobs[index].known = listed.lease;
                self.proceed(index, now, out);
            }
        }
    }

    fn retry_reads(&mut self, now: ClockReading, call: CallId, jobs: &[String]) {
        for job in jobs {
            if let Some(index) = self.awaiting_read(job, call) {
                if let Phase::Reading(_) = self.jobs[index].phase {
                    self.jobs[index].phase = Phase::Idle;
                }
                self.retry_later(index, now);
            }
        }
    }

    /// The index of a job that awaits the response to this read.
    fn awaiting_read(&self, job: &str, call: CallId) -> Option<usize> {
        let index = *self.index_by_name.get(job)?;
        self.jobs[index].phase.awaits_read(call).then_some(index)
    }

    /// Handles the response to [`Action::CompareAndSet`].
    pub fn compare_and_set_done(
        &mut self,
        now: ClockReading,
        call: CallId,
        job: &str,
        record: &LeaseRecord,
        outcome: CompareAndSetOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(&index) = self.index_by_name.get(job) else { return };
        match self.jobs[index].phase {
            Phase::Writing { call: pending, .. } if pending == call => {}
            _ => return,
        }
        match outcome {
            CompareAndSetOutcome::Applied { modify_index } => {
                self.jobs[index].known = Some(StoredLease { record: record.clone(), modify_index });
                self.store.record_success(out);
                self.applied(index, now, record, out);
            }
            CompareAndSetOutcome::Conflict => {
                self.conflict(index, now);
                self.store.record_success(out);
            }
            CompareAndSetOutcome::SessionEnded => {
                let state = &mut self.jobs[index];
                state.known = None;
                state.phase = Phase::Idle;
                self.store.record_success(out);
                self.reset_store(now, ResetReason::SessionEnded, out);
            }
            CompareAndSetOutcome::Failed(error) => {
                self.write_failed(index, now, record, &error);
                self.store.record_failure(&error, out);
            }
        }
    }

    /// A record was written: starts the run, or notes the seed.
    fn applied(&mut self, index: usize, now: ClockReading, record: &LeaseRecord, out: &mut Vec<Action>) {
        if !record.is_seed() {
            self.start_run(index, now, out);
            return;
        }
        let state = &mut self.jobs[index];
        state.settled = record.run;
        state.phase = Phase::Idle;
        let job = state.job.name.clone();
        out.push(Action::Notify(Notice::Seeded { job, run: record.run }));
        self.plan(index, now);
    }

    /// Another instance was faster: reads again, a few times at most.
    fn conflict(&mut self, index: usize, now: ClockReading) {
        let state = &mut self.jobs[index];
        state.known = None;
        state.phase = Phase::Idle;
        state.conflicts += 1;
        if state.conflicts > MAX_CONFLICTS {
            state.settle_current_run();
            self.plan(index, now);
        } else {
            self.schedule_attempt(index, now.unix_ms);
        }
    }

    fn write_failed(&mut self, index: usize, now: ClockReading, record: &LeaseRecord, error: &StoreError) {
        let state = &mut self.jobs[index];
        state.known = None;
        match error {
            StoreError::OutcomeUnknown(_) if !record.is_seed() => {
                state.phase = Phase::Uncertain { read: None };
                self.schedule_attempt(index, now.unix_ms);
            }
            _ => {
                state.phase = Phase::Idle;
                self.retry_later(index, now);
            }
        }
    }
}
