//! The simulated lease store.

use crate::counts::Counts;
use job_lease::{
    CompareAndSetOutcome, LeaseListing, LeaseRecord, LocalStore, Session, StoreError, StoreErrorCause,
};
use periodic_jobs::{Action, CallId, ClockReading, Scheduler};

/// The delay of a response, in milliseconds.
const RESPONSE_DELAY_MS: u64 = 2;
/// The time limit of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 100;

/// How the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    None,
    /// It handles no call and does not respond.
    Unresponsive,
    /// It applies writes, and their responses are lost.
    ResponsesLost,
}

#[derive(Debug)]
pub(crate) enum StoreCall {
    OpenSession,
    RenewSession(Session),
    ReadLeases { call: CallId, jobs: Vec<String> },
    CompareAndSet { call: CallId, job: String, record: LeaseRecord, expected_index: u64, session: Session },
}

#[derive(Debug)]
pub(crate) enum StoreResponse {
    SessionOpened(Result<Session, StoreError>),
    SessionRenewed(Session, Result<bool, StoreError>),
    LeasesRead { call: CallId, jobs: Vec<String>, result: Result<LeaseListing, StoreError> },
    CompareAndSetDone { call: CallId, job: String, record: LeaseRecord, outcome: CompareAndSetOutcome },
}

impl StoreCall {
    /// The response of a call that timed out.
    fn timed_out(self) -> StoreResponse {
        match self {
            Self::OpenSession => StoreResponse::SessionOpened(Err(no_response())),
            Self::RenewSession(session) => StoreResponse::SessionRenewed(session, Err(no_response())),
            Self::ReadLeases { call, jobs } => {
                StoreResponse::LeasesRead { call, jobs, result: Err(no_response()) }
            }
            Self::CompareAndSet { call, job, record, .. } => {
                let outcome = CompareAndSetOutcome::Failed(no_response());
                StoreResponse::CompareAndSetDone { call, job, record, outcome }
            }
        }
    }
}

impl StoreResponse {
    /// Hands the response to the scheduler that made the call.
    pub(crate) fn apply(self, scheduler: &mut Scheduler, now: ClockReading, out: &mut Vec<Action>) {
        match self {
            Self::SessionOpened(result) => scheduler.session_opened(now, result, out),
            Self::SessionRenewed(session, result) => scheduler.session_renewed(now, &session, result, out),
            Self::LeasesRead { call, jobs, result } => scheduler.leases_read(now, call, &jobs, result, out),
            Self::CompareAndSetDone { call, job, record, outcome } => {
                scheduler.compare_and_set_done(now, call, &job, &record, outcome, out);
            }
        }
    }
}

fn no_response() -> StoreError {
    StoreError::OutcomeUnknown(StoreErrorCause::NoResponse)
}

/// A response, and after how long it reaches the caller.
pub(crate) struct DelayedResponse {
    pub(crate) delay_ms: u64,
    pub(crate) response: StoreResponse,
}

/// The store: compare-and-set on keys, bound to sessions.
#[derive(Debug)]
pub(crate) struct SimulatedStore {
    leases: LocalStore,
    /// Increases each time that the store comes back empty; the id of all its sessions.
    incarnation: u64,
    fault: StoreFault,
    /// The responses to so many further applied writes are lost.
    responses_to_lose: u32,
}

impl SimulatedStore {
    pub(crate) fn new() -> Self {
        Self { leases: LocalStore::default(), incarnation: 1, fault: StoreFault::None, responses_to_lose: 0 }
    }

    pub(crate) fn set_fault(&mut self, fault: StoreFault) {
        self.fault = fault;
    }

    pub(crate) fn lose_responses(&mut self, count: u32) {
        self.responses_to_lose = count;
    }

    /// Comes back without any key, its indexes from the beginning.
    pub(crate) fn restart_empty(&mut self) {
        self.leases = LocalStore::default();
        self.incarnation += 1;
    }

    /// Handles a call of an instance that reaches the store or not.
    pub(crate) fn handle(
        &mut self,
        call: StoreCall,
        reachable: bool,
        counts: &mut Counts,
    ) -> DelayedResponse {
        if self.fault == StoreFault::Unresponsive || !reachable {
            return DelayedResponse { delay_ms: CALL_TIMEOUT_MS, response: call.timed_out() };
        }
        let response = match call {
            StoreCall::OpenSession => {
                let session = Session { id: self.incarnation.to_string(), key: String::new() };
                StoreResponse::SessionOpened(Ok(session))
            }
            StoreCall::RenewSession(session) => {
                let exists = self.session_exists(&session);
                StoreResponse::SessionRenewed(session, Ok(exists))
            }
            StoreCall::ReadLeases { call, jobs } => {
                counts.reads += 1;
                let result = Ok(self.leases.read(&jobs));
                StoreResponse::LeasesRead { call, jobs, result }
            }
            StoreCall::CompareAndSet { call, job, record, expected_index, session } => {
                counts.writes += 1;
                let outcome = self.compare_and_set(&job, &record, expected_index, &session);
                let applied = matches!(outcome, CompareAndSetOutcome::Applied { .. });
                counts.writes_applied += u64::from(applied);
                if self.loses_response(applied) {
                    let outcome = CompareAndSetOutcome::Failed(no_response());
                    let response = StoreResponse::CompareAndSetDone { call, job, record, outcome };
                    return DelayedResponse { delay_ms: CALL_TIMEOUT_MS, response };
                }
                StoreResponse::CompareAndSetDone { call, job, record, outcome }
            }
        };
        DelayedResponse { delay_ms: RESPONSE_DELAY_MS, response }
    }

    fn session_exists(&self, session: &Session) -> bool {
        session.id == self.incarnation.to_string()
    }

    fn compare_and_set(
        &mut self,
        job: &str,
        record: &LeaseRecord,
        expected_index: u64,
        session: &Session,
    ) -> CompareAndSetOutcome {
        if !self.session_exists(session) {
            return CompareAndSetOutcome::SessionEnded;
        }
        self.leases.compare_and_set(job, record.clone(), expected_index)
    }

    /// Whether the response to a write is lost.
    fn loses_response(&mut self, applied: bool) -> bool {
        let lost = self.fault == StoreFault::ResponsesLost || (self.responses_to_lose > 0 && applied);
        if lost {
            self.responses_to_lose = self.responses_to_lose.saturating_sub(1);
        }
        lost
    }
}
