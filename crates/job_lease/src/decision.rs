//! The lease protocol for one key.

use crate::{LeaseRecord, RunId, StoredLease};

/// A request to acquire a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcquireRequest {
    /// The run.
    pub run: RunId,
    /// The id of the lease, the same for all attempts of one instance at one run. Never 0, which marks a seed.
    pub lease_id: u64,
    /// The run that seeds an absent key: the run at the instance's clock plus the maximum clock skew. No instance can have
    /// acquired a later run.
    pub seed_run: RunId,
}

impl AcquireRequest {
    /// Returns the record that acquires the run.
    pub fn lease_record(&self, holder: &str) -> LeaseRecord {
        LeaseRecord { run: self.run, holder: holder.to_owned(), lease_id: self.lease_id }
    }

    /// Returns the record that seeds an absent key.
    pub fn seed_record(&self) -> LeaseRecord {
        LeaseRecord::seed(self.seed_run.max(self.run))
    }
}

/// The next step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Give up the run. Another lease holder or a seed has settled it.
    Settled,
    /// Start the run if its deadline allows. The key already holds this lease, so the response to the write was lost.
    AlreadyHeld,
    /// Write a seed if the key is still absent. The run does not start.
    Seed,
    /// Write the lease record by compare-and-set.
    CompareAndSet {
        /// The index that the key must still have.
        expected_index: u64,
    },
}

/// Decides the next step of a request from the stored lease, which is `None` if the key does not exist.
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
