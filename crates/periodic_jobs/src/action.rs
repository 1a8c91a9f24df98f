//! What a scheduler asks its driver to do.

use crate::Run;
use job_lease::{LeaseRecord, RunId, Session};
use std::fmt;

/// Identifies a call to the store, so that its response can be assigned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An action for the driver. Each call to the store is answered by the method named with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a session: [`Scheduler::session_opened`](crate::Scheduler::session_opened).
    OpenSession,
    /// Renew it: [`Scheduler::session_renewed`](crate::Scheduler::session_renewed).
    RenewSession(Session),
    /// Read the leases of these jobs: [`Scheduler::leases_read`](crate::Scheduler::leases_read).
    ReadLeases {
        /// Returned with the response.
        call: CallId,
        /// The jobs' names.
        jobs: Vec<String>,
    },
    /// Acquire a run, or seed its key: [`Scheduler::compare_and_set_done`](crate::Scheduler::compare_and_set_done).
    CompareAndSet {
        /// Returned with the response.
        call: CallId,
        /// The job's name.
        job: String,
        /// The record to write.
        record: LeaseRecord,
        /// The index that the key must still have; 0 for no key.
        expected_index: u64,
        /// The session that the write is bound to.
        session: Session,
    },
    /// Carry out a run.
    StartRun(Run),
    /// Log something.
    Notify(Notice),
}

/// What an operator may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The store does not respond: nothing is acquired and nothing runs.
    StoreUnavailable {
        /// Why, as the failed call says.
        reason: String,
    },
    /// It responds again.
    StoreAvailable,
    /// All keys are read anew.
    StoreReset(ResetReason),
    /// A job's key was created, with all runs up to this one settled and not run.
    Seeded {
        /// The job's name.
        job: String,
        /// The run.
        run: RunId,
    },
    /// A run was acquired, but too late to start it.
    AcquiredTooLate {
        /// The job's name.
        job: String,
        /// The run.
        run: RunId,
    },
    /// The response to a compare-and-set was lost, and the lease was found to hold.
    LeaseRecovered {
        /// The job's name.
        job: String,
        /// The run.
        run: RunId,
    },
    /// The record holds a run further ahead than any clock within the bound: some clock is wrong.
    RecordAheadOfClock {
        /// The job's name.
        job: String,
        /// The run.
        run: RunId,
    },
    /// The Unix clock has moved against the monotonic one.
    ClockStepped {
        /// By how many milliseconds; negative where it was put back.
        by_ms: i64,
    },
}

/// Why nothing that is known about the store's keys holds any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// The session has ended.
    SessionEnded,
    /// The store's index has decreased.
    IndexDecreased,
}

impl fmt::Display for ResetReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SessionEnded => "the session has ended",
            Self::IndexDecreased => "the store's index decreased",
        })
    }
}
