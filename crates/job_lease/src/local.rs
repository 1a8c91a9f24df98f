//! Leases kept in the process, for a single instance. They follow the same protocol, so a program that restarts seeds its
//! jobs like a store that came back empty, and a run from before the restart is not run again.

use crate::{CompareAndSetOutcome, LeaseListing, LeaseRecord, ListedLease, Session, StoredLease};
use std::collections::HashMap;

/// The leases of one process.
#[derive(Debug, Default)]
pub struct LocalStore {
    leases: HashMap<String, StoredLease>,
    last_index: u64,
}

impl LocalStore {
    /// A session; it lasts as long as the process.
    pub fn open_session(&self) -> Session {
        Session { id: "local".into(), key: String::new() }
    }

    /// The leases of these jobs.
    pub fn read(&self, jobs: &[String]) -> LeaseListing {
        let listed = |job: &String| ListedLease { job: job.clone(), lease: self.leases.get(job).cloned() };
        LeaseListing { leases: jobs.iter().map(listed).collect(), store_index: self.last_index }
    }

    /// Writes a record if the index of the job's key is still this one, 0 standing for no key.
    pub fn compare_and_set(
        &mut self,
        job: &str,
        record: LeaseRecord,
        expected_index: u64,
    ) -> CompareAndSetOutcome {
        if self.leases.get(job).map_or(0, |lease| lease.modify_index) != expected_index {
            return CompareAndSetOutcome::Conflict;
        }
        self.last_index += 1;
        let modify_index = self.last_index;
        self.leases.insert(job.to_owned(), StoredLease { record, modify_index });
        CompareAndSetOutcome::Applied { modify_index }
    }

    /// Forgets the jobs that `keep` rejects.
    pub fn retain_jobs(&mut self, keep: impl Fn(&str) -> bool) {
        self.leases.retain(|job, _| keep(job));
    }
}

#[cfg(test)]
mod tests;
