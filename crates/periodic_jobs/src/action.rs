//! The actions and notices of a scheduler.

use crate::{Run, StoreCall};
use job_lease::RunId;
use std::fmt;

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the lease store.
    CallStore(StoreCall),
    /// Start a run.
    StartRun(Run),
    /// Log a notice.
    Notify(Notice),
}

/// An event of interest to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The store is unavailable. No run is acquired and none starts.
    StoreUnavailable {
        /// The error of the last call.
        reason: String,
    },
    /// The store has recovered.
    StoreAvailable,
    /// All cached leases were discarded and are read again.
    StoreReset(ResetReason),
    /// A job's key was absent and has been seeded. Runs up to this one do not start.
    Seeded {
        /// The name of the job.
        job: String,
        /// The run.
        run: RunId,
    },
    /// A run was acquired after its deadline and did not start.
    AcquiredTooLate {
        /// The name of the job.
        job: String,
        /// The run.
        run: RunId,
    },
    /// The response to a compare-and-set was lost, and a read has confirmed the lease.
    LeaseRecovered {
        /// The name of the job.
        job: String,
        /// The run.
        run: RunId,
    },
    /// The stored run is later than any clock within the maximum skew allows. Some clock is wrong.
    RecordAheadOfClock {
        /// The name of the job.
        job: String,
        /// The run.
        run: RunId,
    },
    /// The Unix clock was stepped relative to the monotonic clock.
    ClockStepped {
        /// The size of the step in milliseconds, negative for a step backwards.
        by_ms: i64,
    },
}

/// The reason why the cached leases were discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// The session has ended.
    SessionEnded,
    /// The store's index has decreased, so the store has lost its data.
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
