//! The lease protocol for one key.

use crate::{LeaseRecord, RunId, StoredLease};

/// A request of one instance to acquire a run of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcquireRequest {
    /// The run to acquire.
    pub run: RunId,
    /// The id of the lease: the same for all attempts of one incarnation of an instance at one run, and distinct from the
    /// ids of other instances and incarnations. Never 0, which marks a seed.
    pub lease_id: u64,
    /// The run with which an absent key is seeded: the run at the time of the instance's clock plus the maximum clock skew.
    /// No instance can have acquired a later run.
    pub seed_run: RunId,
}

impl AcquireRequest {
    /// Returns the record that acquires the run for the instance named `holder`.
    pub fn lease_record(&self, holder: &str) -> LeaseRecord {
        LeaseRecord { run: self.run, holder: holder.to_owned(), lease_id: self.lease_id }
    }

    /// Returns the record that seeds an absent key. It settles the requested run even if that is later than `seed_run`.
    pub fn seed_record(&self) -> LeaseRecord {
        LeaseRecord::seed(self.seed_run.max(self.run))
    }
}

/// The next step of an instance that wants to acquire a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Give up the run. The record of another lease or of a seed settles it.
    Settled,
    /// Start the run unless its deadline has passed. The key already holds this lease, so an earlier write of the instance
    /// was applied and its response lost.
    AlreadyHeld,
    /// Write the seed record by compare-and-set, which fails if the key exists by then. The run does not start.
    Seed,
    /// Write the lease record by compare-and-set.
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
