//! The scheduler's outputs: actions for the driver, and notices for operators.

use crate::{Run, StoreCall};
use job_lease::RunId;
use std::fmt;

/// An action that the scheduler's driver must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make this call to the lease store and return its response to the scheduler.
    CallStore(StoreCall),
    /// Start a run whose lease this instance holds, if [`Run::may_start`] still allows it.
    StartRun(Run),
    /// Log this event for operators.
    Notify(Notice),
}

/// An event that the driver logs for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Successive calls to the lease store have failed. No run starts until the store has recovered.
    StoreUnavailable {
        /// The cause of the last failed call, as text for the log.
        reason: String,
    },
    /// A call to the lease store has succeeded after [`Notice::StoreUnavailable`].
    StoreAvailable,
    /// The session and all cached leases were discarded. Leases are read again before the next runs.
    StoreReset(ResetReason),
    /// The key of a job was absent, and a seed record ([`LeaseRecord::seed`](job_lease::LeaseRecord::seed)) was written under
    /// it. No run up to and including the run in the seed record starts.
    Seeded {
        /// The name of the job whose key was absent.
        job: String,
        /// The last run that does not start, as the seed record states.
        run: RunId,
    },
    /// This instance acquired a run after the run's deadline, so the run does not start.
    AcquiredTooLate {
        /// The name of the job whose run does not start.
        job: String,
        /// The acquired run, which no instance starts any more.
        run: RunId,
    },
    /// The response to a compare-and-set was lost, and a read has confirmed the lease.
    LeaseRecovered {
        /// The name of the job whose lease was confirmed.
        job: String,
        /// The run that the confirmed lease covers. The run starts unless its deadline has passed.
        run: RunId,
    },
    /// A lease record holds a run that no instance whose clock is within the maximum skew can have acquired or settled by a seed
    /// record. The clock of some instance is wrong.
    RecordAheadOfClock {
        /// The name of the job whose lease record is ahead.
        job: String,
        /// The run in the lease record, whose scheduled time is too far in the future.
        run: RunId,
    },
    /// The Unix clock was stepped: it advanced by more or less than the monotonic clock.
    ClockStepped {
        /// The size of the step in milliseconds, negative for a step backwards.
        by_ms: i64,
    },
}

/// The reason why the session and all cached leases were discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// The session no longer exists in the store.
    SessionEnded,
    /// The store's index is lower than in an earlier response, so the store has lost its data.
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
