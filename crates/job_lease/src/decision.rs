//! The protocol for one key.

use crate::{LeaseRecord, RunId, StoredLease};

/// A run that an instance wants to acquire.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcquireRequest {
    /// The run.
    pub run: RunId,
    /// The id of the lease, the same for all attempts of one instance at one run; never 0.
    pub lease_id: u64,
    /// The run that seeds an absent key: the run at the instance's clock put forward by the largest difference between two
    /// clocks. Nobody can have acquired a later run.
    pub seed_run: RunId,
}

impl AcquireRequest {
    /// The record that acquires the run.
    pub fn lease_record(&self, holder: &str) -> LeaseRecord {
        LeaseRecord { run: self.run, holder: holder.to_owned(), lease_id: self.lease_id }
    }

    /// The record that seeds an absent key.
    pub fn seed_record(&self) -> LeaseRecord {
        LeaseRecord { run: self.seed_run.max(self.run), holder: String::new(), lease_id: 0 }
    }
}

/// How to go on with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The run is settled, by another lease holder or by a seed: leave it.
    Settled,
    /// The key holds a record with this very lease id: the response must have been lost. Run it if there is time.
    AlreadyHeld,
    /// Write a seed if there still is no key. Nothing is run.
    Seed,
    /// Write the lease record if the key's index is still this one.
    CompareAndSet {
        /// The expected index.
        expected_index: u64,
    },
}

/// How to go on with a request, by what the key holds; `None` where it does not exist.
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
