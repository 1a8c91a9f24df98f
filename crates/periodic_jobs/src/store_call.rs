//! Calls to the lease store and their responses.

use job_lease::{CompareAndSetOutcome, LeaseListing, LeaseRecord, LocalStore, Session, StoreError};

/// Identifies a read or write of leases. The scheduler assigns ids in increasing order, and the response to a call carries
/// the call's id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call to the lease store. The driver passes the response to
/// [`Scheduler::handle_store_response`](crate::Scheduler::handle_store_response).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Open a session, to which all writes are bound.
    OpenSession,
    /// Renew this session, so that its TTL starts again.
    RenewSession(Session),
    /// Read the leases of several jobs in one call.
    ReadLeases {
        /// Identifies the call in [`StoreResponse::LeasesRead`].
        call: CallId,
        /// The names of the jobs whose leases are read.
        jobs: Vec<String>,
    },
    /// Write a lease record or a seed record ([`LeaseRecord::seed`]) by compare-and-set.
    CompareAndSet {
        /// Identifies the call in [`StoreResponse::CompareAndSetDone`].
        call: CallId,
        /// The name of the job whose key is written.
        job: String,
        /// The record to write. A lease record acquires the run, a seed record does not.
        record: LeaseRecord,
        /// The index that the key must still have, or [`ABSENT_KEY_INDEX`](job_lease::ABSENT_KEY_INDEX) if the key must not
        /// exist.
        expected_index: u64,
        /// The session that the write is bound to: the store rejects the write if the session has ended.
        session: Session,
    },
}

/// The response to a [`StoreCall`].
#[derive(Debug)]
pub enum StoreResponse {
    /// The new session, or why [`StoreCall::OpenSession`] failed.
    SessionOpened(Result<Session, StoreError>),
    /// The response to [`StoreCall::RenewSession`].
    SessionRenewed {
        /// The session that was to be renewed.
        session: Session,
        /// Whether the session still exists; an error if the store has not answered that.
        result: Result<bool, StoreError>,
    },
    /// The response to [`StoreCall::ReadLeases`].
    LeasesRead {
        /// The id from the [`StoreCall::ReadLeases`] that is answered.
        call: CallId,
        /// The names of the jobs whose leases the call reads.
        jobs: Vec<String>,
        /// The stored leases, one entry per job; an error if the read failed.
        result: Result<LeaseListing, StoreError>,
    },
    /// The response to [`StoreCall::CompareAndSet`].
    CompareAndSetDone {
        /// The id from the [`StoreCall::CompareAndSet`] that is answered.
        call: CallId,
        /// The name of the job whose key was to be written.
        job: String,
        /// The lease record that was to be written.
        record: LeaseRecord,
        /// Whether the record was written, or why not.
        outcome: CompareAndSetOutcome,
    },
}

impl StoreCall {
    /// Applies the call to a store in memory, whose sessions never end, and returns the response.
    pub fn apply_to(self, store: &mut LocalStore) -> StoreResponse {
        match self {
            Self::OpenSession => StoreResponse::SessionOpened(Ok(store.open_session())),
            Self::RenewSession(session) => StoreResponse::SessionRenewed { session, result: Ok(true) },
            Self::ReadLeases { call, jobs } => {
                let result = Ok(store.read(&jobs));
                StoreResponse::LeasesRead { call, jobs, result }
            }
            Self::CompareAndSet { call, job, record, expected_index, .. } => {
                let outcome = store.compare_and_set(&job, record.clone(), expected_index);
                StoreResponse::CompareAndSetDone { call, job, record, outcome }
            }
        }
    }

    /// Returns the response to the call with `error` as its result.
    pub fn fail(self, error: StoreError) -> StoreResponse {
        match self {
            Self::OpenSession => StoreResponse::SessionOpened(Err(error)),
            Self::RenewSession(session) => StoreResponse::SessionRenewed { session, result: Err(error) },
            Self::ReadLeases { call, jobs } => StoreResponse::LeasesRead { call, jobs, result: Err(error) },
            Self::CompareAndSet { call, job, record, .. } => {
                let outcome = CompareAndSetOutcome::Failed(error);
                StoreResponse::CompareAndSetDone { call, job, record, outcome }
            }
        }
    }
}
