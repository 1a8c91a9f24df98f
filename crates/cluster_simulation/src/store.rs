//! The simulated lease store.

use crate::counts::Counts;
use job_lease::{CompareAndSetOutcome, LeaseRecord, LocalStore, Session, StoreError, StoreErrorCause};
use periodic_jobs::{StoreCall, StoreResponse};
use std::time::Duration;

/// The time until a response reaches the caller.
const RESPONSE_DELAY: Duration = Duration::from_millis(2);
/// The time until a call without response fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// A fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Calls are applied and answered.
    None,
    /// The store applies and answers no call. All calls time out.
    Unresponsive,
    /// The store handles all calls, but the responses to writes are lost.
    ResponsesLost,
}

fn no_response() -> StoreError {
    StoreError::OutcomeUnknown(StoreErrorCause::NoResponse)
}

/// A response and the time until it reaches the caller.
pub(crate) struct DelayedResponse {
    pub(crate) delay: Duration,
    pub(crate) response: StoreResponse,
}

/// A lease store that rejects the writes of ended sessions. All sessions end when it loses its data.
#[derive(Debug)]
pub(crate) struct SimulatedStore {
    leases: LocalStore,
    /// Increases each time the store loses its data. The number is the id of all sessions, so that earlier ones become invalid.
    incarnation: u64,
    fault: StoreFault,
    /// The number of further applied writes whose responses will be lost.
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

    /// Restarts without data: the indexes start from 0 again, and all sessions end.
    pub(crate) fn restart_empty(&mut self) {
        self.leases = LocalStore::default();
        self.incarnation += 1;
    }

    /// Handles a call. The call times out if the store is unresponsive, or if `reachable` is false.
    pub(crate) fn handle(
        &mut self,
        call: StoreCall,
        reachable: bool,
        counts: &mut Counts,
    ) -> DelayedResponse {
        if self.fault == StoreFault::Unresponsive || !reachable {
            return DelayedResponse { delay: CALL_TIMEOUT, response: call.fail(no_response()) };
        }
        let response = match call {
            StoreCall::OpenSession => {
                let session = Session { id: self.incarnation.to_string(), key: String::new() };
                StoreResponse::SessionOpened(Ok(session))
            }
            StoreCall::RenewSession(session) => {
                let exists = self.session_exists(&session);
                StoreResponse::SessionRenewed { session, result: Ok(exists) }
            }
            StoreCall::ReadLeases { .. } => {
                counts.reads += 1;
                call.apply_to(&mut self.leases)
            }
            StoreCall::CompareAndSet { call, job, record, expected_index, session } => {
                counts.writes += 1;
                let outcome = self.compare_and_set(&job, &record, expected_index, &session);
                let applied = matches!(outcome, CompareAndSetOutcome::Applied { .. });
                counts.writes_applied += u64::from(applied);
                if self.take_response_loss(applied) {
                    let outcome = CompareAndSetOutcome::Failed(no_response());
                    let response = StoreResponse::CompareAndSetDone { call, job, record, outcome };
                    return DelayedResponse { delay: CALL_TIMEOUT, response };
                }
                StoreResponse::CompareAndSetDone { call, job, record, outcome }
            }
        };
        DelayedResponse { delay: RESPONSE_DELAY, response }
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

    /// Returns whether the response to a write is lost, and decrements the number of responses to lose.
    fn take_response_loss(&mut self, applied: bool) -> bool {
        let lost = self.fault == StoreFault::ResponsesLost || (self.responses_to_lose > 0 && applied);
        if lost {
            self.responses_to_lose = self.responses_to_lose.saturating_sub(1);
        }
        lost
    }
}
