//! Leases in memory, for a single instance. They follow the same protocol as leases in Consul: after a restart all keys are
//! absent and are seeded first, so no run from before the restart is repeated.

use crate::{
    ABSENT_KEY_INDEX, CompareAndSetOutcome, LeaseListing, LeaseRecord, ListedLease, Session, StoredLease,
};
use std::collections::HashMap;

/// The leases of a single instance, lost when its process ends.
#[derive(Debug, Default)]
pub struct LocalStore {
    /// The leases by job name.
    leases: HashMap<String, StoredLease>,
    /// The index of the last write, 0 before the first.
    last_index: u64,
}

impl LocalStore {
    /// Opens a session, which lasts as long as the process and holds no key.
    pub fn open_session(&self) -> Session {
        Session { id: "local".into(), key: String::new() }
    }

    /// Returns the stored leases of these jobs.
    pub fn read(&self, jobs: &[String]) -> LeaseListing {
        let listed = |job: &String| ListedLease { job: job.clone(), lease: self.leases.get(job).cloned() };
        LeaseListing { leases: jobs.iter().map(listed).collect(), store_index: self.last_index }
    }

    /// Writes a record if the job's key has the expected index. [`ABSENT_KEY_INDEX`] means that the key must not exist.
    pub fn compare_and_set(
        &mut self,
        job: &str,
        record: LeaseRecord,
        expected_index: u64,
    ) -> CompareAndSetOutcome {
        let current_index = self.leases.get(job).map_or(ABSENT_KEY_INDEX, |lease| lease.modify_index);
        if current_index != expected_index {
            return CompareAndSetOutcome::Conflict;
        }
        self.last_index += 1;
        let modify_index = self.last_index;
        self.leases.insert(job.to_owned(), StoredLease { record, modify_index });
        CompareAndSetOutcome::Applied { modify_index }
    }

    /// Removes the leases of all jobs for whose name `keep` returns false.
    pub fn retain_jobs(&mut self, keep: impl Fn(&str) -> bool) {
        self.leases.retain(|job, _| keep(job));
    }
}

#[cfg(test)]
mod tests;
