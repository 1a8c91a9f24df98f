//! The handling of responses of the lease store.

use super::Scheduler;
use super::job_state::Phase;
use crate::{Action, CallId, ClockReading, Notice, ResetReason, StoreResponse};
use job_lease::{CompareAndSetOutcome, LeaseListing, LeaseRecord, Session, StoreError, StoredLease};

/// The number of conflicting writes after which a run is given up. Another instance is acquiring it.
const MAX_CONFLICTS: u8 = 3;

impl Scheduler {
    /// Handles the response to an [`Action::CallStore`].
    pub fn handle_store_response(
        &mut self,
        now: ClockReading,
        response: StoreResponse,
        out: &mut Vec<Action>,
    ) {
        match response {
            StoreResponse::SessionOpened(result) => self.session_opened(now, result, out),
            StoreResponse::SessionRenewed { session, result } => {
                self.session_renewed(now, &session, result, out);
            }
            StoreResponse::LeasesRead { call, jobs, result } => {
                self.leases_read(now, call, &jobs, result, out);
            }
            StoreResponse::CompareAndSetDone { call, job, record, outcome } => {
                self.compare_and_set_done(now, call, &job, &record, outcome, out);
            }
        }
    }

    fn session_opened(
        &mut self,
        now: ClockReading,
        response: Result<Session, StoreError>,
        out: &mut Vec<Action>,
    ) {
        self.store.finish_opening();
        match response {
            Ok(session) => {
                self.store.opened(now, session);
                self.store.record_success(out);
                self.tick(now, out);
            }
            Err(error) => self.store.record_failure(&error, out),
        }
    }

    fn session_renewed(
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
            Ok(true) => self.store.finish_renewal(now.monotonic),
            Ok(false) => {
                self.store.cancel_renewal();
                self.reset_store(now, ResetReason::SessionEnded, out);
            }
            Err(error) => {
                // Retry after a tenth of the interval. If the session ends before, the next write detects it.
                let elapsed = self.config.session_renewal_interval * 9 / 10;
                self.store.finish_renewal(now.monotonic.saturating_sub(elapsed));
                self.store.record_failure(&error, out);
            }
        }
    }

    fn leases_read(
        &mut self,
        now: ClockReading,
        call: CallId,
        jobs: &[String],
        response: Result<LeaseListing, StoreError>,
        out: &mut Vec<Action>,
    ) {
        match response {
            // The read was made before the last reset. Its result may be outdated.
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
                self.jobs[index].cached_lease = listed.lease;
                self.continue_attempt(index, now, out);
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

    /// Returns the index of a job if it awaits the response to this read.
    fn awaiting_read(&self, job: &str, call: CallId) -> Option<usize> {
        let index = *self.index_by_name.get(job)?;
        self.jobs[index].phase.awaits_read(call).then_some(index)
    }

    fn compare_and_set_done(
        &mut self,
        now: ClockReading,
        call: CallId,
        job: &str,
        record: &LeaseRecord,
        outcome: CompareAndSetOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(&index) = self.index_by_name.get(job) else { return };
        if !self.jobs[index].phase.awaits_write(call) {
            return;
        }
        match outcome {
            CompareAndSetOutcome::Applied { modify_index } => {
                self.store.record_success(out);
                let lease = StoredLease { record: record.clone(), modify_index };
                self.lease_written(index, now, lease, out);
            }
            CompareAndSetOutcome::Conflict => {
                self.write_conflicted(index, now);
                self.store.record_success(out);
            }
            CompareAndSetOutcome::SessionEnded => {
                self.jobs[index].abandon_attempt();
                self.store.record_success(out);
                self.reset_store(now, ResetReason::SessionEnded, out);
            }
            CompareAndSetOutcome::Failed(error) => {
                self.write_failed(index, now, record, &error);
                self.store.record_failure(&error, out);
            }
        }
    }

    /// Starts the acquired run. After a seed, schedules the first run behind it.
    fn lease_written(&mut self, index: usize, now: ClockReading, lease: StoredLease, out: &mut Vec<Action>) {
        let (run, is_seed) = (lease.record.run, lease.record.is_seed());
        let state = &mut self.jobs[index];
        state.cached_lease = Some(lease);
        if !is_seed {
            self.start_run(index, now, out);
            return;
        }
        state.settled = run;
        state.phase = Phase::Idle;
        let job = state.job.name.clone();
        out.push(Action::Notify(Notice::Seeded { job, run }));
        self.schedule_next_run(index, now);
    }

    /// Retries after another instance has changed the record, up to [`MAX_CONFLICTS`] times per run.
    fn write_conflicted(&mut self, index: usize, now: ClockReading) {
        let state = &mut self.jobs[index];
        state.abandon_attempt();
        state.conflicts += 1;
        if state.conflicts > MAX_CONFLICTS {
            state.settle_current_run();
            self.schedule_next_run(index, now);
        } else {
            self.attempts.schedule(index, now.unix);
        }
    }

    fn write_failed(&mut self, index: usize, now: ClockReading, record: &LeaseRecord, error: &StoreError) {
        self.jobs[index].abandon_attempt();
        match error {
            StoreError::OutcomeUnknown(_) if !record.is_seed() => {
                self.jobs[index].phase = Phase::Uncertain { read: None };
                self.attempts.schedule(index, now.unix);
            }
            _ => self.retry_later(index, now),
        }
    }
}
