//! Handlers for the responses of the lease store.

use super::Scheduler;
use crate::{Action, CallId, ClockReading, Notice, ResetReason, StoreResponse};
use job_lease::{CompareAndSetOutcome, LeaseListing, LeaseRecord, Session, StoreError, StoredLease};

/// The maximum number of retries of a run after conflicting writes. After one more conflict the run is given up, because
/// another instance is acquiring it.
const MAX_CONFLICT_RETRIES: u8 = 3;

impl Scheduler {
    /// Handles the response to a call that [`Action::CallStore`] requested.
    pub fn handle_store_response(
        &mut self,
        now: ClockReading,
        response: StoreResponse,
        actions: &mut Vec<Action>,
    ) {
        match response {
            StoreResponse::SessionOpened(result) => self.handle_session_opened(now, result, actions),
            StoreResponse::SessionRenewed { session, result } => {
                self.handle_session_renewed(now, &session, result, actions);
            }
            StoreResponse::LeasesRead { call, jobs, result } => {
                self.handle_leases_read(now, call, &jobs, result, actions);
            }
            StoreResponse::CompareAndSetDone { call, job, record, outcome } => {
                self.handle_compare_and_set_done(now, call, &job, &record, outcome, actions);
            }
        }
    }

    fn handle_session_opened(
        &mut self,
        now: ClockReading,
        result: Result<Session, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        self.store.finish_opening();
        match result {
            Ok(session) => {
                self.store.set_session(now, session);
                self.store.record_success(actions);
                self.tick(now, actions);
            }
            Err(error) => self.store.record_failure(&error, actions),
        }
    }

    fn handle_session_renewed(
        &mut self,
        now: ClockReading,
        session: &Session,
        result: Result<bool, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        if self.store.session() != Some(session) {
            return;
        }
        match result {
            Ok(true) => self.store.finish_renewal(now.monotonic),
            Ok(false) => {
                self.store.cancel_renewal();
                self.reset_store(now, ResetReason::SessionEnded, actions);
            }
            Err(error) => {
                // Renew again after a tenth of the interval. If the session ends before that, the next write detects it.
                let elapsed = self.config.session_renewal_interval * 9 / 10;
                self.store.finish_renewal(now.monotonic.saturating_sub(elapsed));
                self.store.record_failure(&error, actions);
            }
        }
    }

    fn handle_leases_read(
        &mut self,
        now: ClockReading,
        call: CallId,
        jobs: &[String],
        result: Result<LeaseListing, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        match result {
            // The read was requested before the last reset, so its result may be outdated.
            Ok(_) if !self.store.is_valid_call(call) => {}
            Ok(listing) => {
                self.store.record_success(actions);
                if self.store.index_decreased(listing.store_index) {
                    self.reset_store(now, ResetReason::IndexDecreased, actions);
                } else {
                    self.continue_after_read(now, call, listing, actions);
                    // Jobs that the listing lacks, though they were to be read.
                    self.retry_reads(now, call, jobs);
                }
            }
            Err(error) => {
                self.store.record_failure(&error, actions);
                self.retry_reads(now, call, jobs);
            }
        }
    }

    fn continue_after_read(
        &mut self,
        now: ClockReading,
        call: CallId,
        listing: LeaseListing,
        actions: &mut Vec<Action>,
    ) {
        for listed in listing.leases {
            if let Some(job_index) = self.jobs.awaiting_read(&listed.job, call) {
                let state = &mut self.jobs[job_index];
                state.cached_lease = listed.lease;
                state.is_outcome_unknown = false;
                self.continue_attempt(job_index, now, actions);
            }
        }
    }

    fn retry_reads(&mut self, now: ClockReading, call: CallId, jobs: &[String]) {
        for job in jobs {
            if let Some(job_index) = self.jobs.awaiting_read(job, call) {
                self.retry_later(job_index, now);
            }
        }
    }

    fn handle_compare_and_set_done(
        &mut self,
        now: ClockReading,
        call: CallId,
        job: &str,
        record: &LeaseRecord,
        outcome: CompareAndSetOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(job_index) = self.jobs.awaiting_write(job, call) else { return };
        match outcome {
            CompareAndSetOutcome::Applied { modify_index } => {
                self.store.record_success(actions);
                let lease = StoredLease { record: record.clone(), modify_index };
                self.handle_applied_write(job_index, now, lease, actions);
            }
            CompareAndSetOutcome::Conflict => {
                self.handle_write_conflict(job_index, now);
                self.store.record_success(actions);
            }
            CompareAndSetOutcome::SessionEnded => {
                // The write was not applied, so the reset must not treat its outcome as unknown.
                self.attempt_at(job_index, now.unix);
                self.store.record_success(actions);
                self.reset_store(now, ResetReason::SessionEnded, actions);
            }
            CompareAndSetOutcome::Failed(error) => {
                self.handle_failed_write(job_index, now, record, &error);
                self.store.record_failure(&error, actions);
            }
        }
    }

    /// Starts the acquired run. If the record is a seed record, which settles runs without a lease holder, schedules the first
    /// run after the settled ones instead.
    fn handle_applied_write(
        &mut self,
        job_index: usize,
        now: ClockReading,
        lease: StoredLease,
        actions: &mut Vec<Action>,
    ) {
        let (run, is_seed) = (lease.record.run, lease.record.is_seed());
        let state = &mut self.jobs[job_index];
        state.cached_lease = Some(lease);
        if !is_seed {
            self.start_run(job_index, now, actions);
            return;
        }
        state.last_settled_run = run;
        let job = state.job.name.clone();
        actions.push(Action::Notify(Notice::Seeded { job, run }));
        self.schedule_next_run(job_index, now);
    }

    /// Retries after another instance has changed the record, up to [`MAX_CONFLICT_RETRIES`] times per run.
    fn handle_write_conflict(&mut self, job_index: usize, now: ClockReading) {
        let state = &mut self.jobs[job_index];
        state.discard_lease();
        state.conflict_count += 1;
        if state.conflict_count > MAX_CONFLICT_RETRIES {
            state.settle_current_run();
            self.schedule_next_run(job_index, now);
        } else {
            self.attempt_at(job_index, now.unix);
        }
    }

    /// Retries the attempt after a failed write. If the write may have acquired the run, the lease is read first.
    fn handle_failed_write(
        &mut self,
        job_index: usize,
        now: ClockReading,
        record: &LeaseRecord,
        error: &StoreError,
    ) {
        let state = &mut self.jobs[job_index];
        state.discard_lease();
        match error {
            StoreError::OutcomeUnknown(_) if !record.is_seed() => {
                state.is_outcome_unknown = true;
                self.attempt_at(job_index, now.unix);
            }
            _ => self.retry_later(job_index, now),
        }
    }
}
