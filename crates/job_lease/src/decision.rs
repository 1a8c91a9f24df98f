//! Decides how an instance acquires a run of a job, from the lease record stored under the job's key.

use crate::{LeaseRecord, RunId, StoredLease};

/// A request of one instance to acquire a run of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcquireRequest {
    /// The run to acquire.
    pub run: RunId,
    /// The id of the lease: the same for all attempts of one incarnation of an instance at one run, and distinct from the
    /// ids of other instances and incarnations. Never 0, the lease id of a seed record ([`LeaseRecord::seed`]).
    pub lease_id: u64,
    /// The run recorded in the seed record if the job's key is absent: the run whose period contains the time of the instance's
    /// clock plus the maximum clock skew. No instance can have acquired a later run.
    pub run_if_key_absent: RunId,
}

impl AcquireRequest {
    /// Returns the record whose successful write acquires the run for the instance named `holder`.
    pub fn lease_record(&self, holder: &str) -> LeaseRecord {
        LeaseRecord { run: self.run, holder: holder.to_owned(), lease_id: self.lease_id }
    }

    /// Returns the seed record ([`LeaseRecord::seed`]) for an absent key. The record settles all runs up to the later one of
    /// [`AcquireRequest::run_if_key_absent`] and [`AcquireRequest::run`].
    pub fn seed_record(&self) -> LeaseRecord {
        LeaseRecord::seed(self.run_if_key_absent.max(self.run))
    }
}

/// The next step of an instance that wants to acquire a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Give up the run. The stored record settles it, as another lease on this or a later run, or as a seed record without a
    /// lease holder ([`LeaseRecord::seed`]).
    Settled,
    /// Start the run unless its deadline has passed. The key already holds this lease, so an earlier write of the instance
    /// was applied and its response lost.
    AlreadyHeld,
    /// Write [`AcquireRequest::seed_record`] by compare-and-set. The write fails if another instance has created the key in the
    /// meantime. The run does not start.
    Seed,
    /// Write [`AcquireRequest::lease_record`] by compare-and-set, which fails if the key has changed.
    CompareAndSet {
        /// The index that the key must still have for the write to be applied.
        expected_index: u64,
    },
}

/// Decides the next step of a request from the lease stored under the job's key. `stored` is `None` if the key does not
/// exist.
pub fn decide(stored: Option<&StoredLease>, request: &AcquireRequest) -> Decision {
    let Some(stored) = stored else { return Decision::Seed };
    let record = &stored.record;
    if record.run == request.run && record.lease_id == request.lease_id {
        Decision::AlreadyHeld
    } else if record.run >= request.run && !seeded_faults::is_active("rounds") {
        Decision::Settled
    } else {
        Decision::CompareAndSet { expected_index: stored.modify_index }
    }
}

#[cfg(test)]
mod tests;
