//! Sessions, and the results of reads and writes.

use crate::{StoreError, StoredLease};

/// The index of a key that does not exist, as a compare-and-set expects it.
pub const ABSENT_KEY_INDEX: u64 = 0;

/// A session with the store. Writes bound to it fail after the session has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    /// The session id assigned by the store.
    pub id: String,
    /// The key held by the session. A transaction checks it to verify that the session exists.
    pub key: String,
}

/// The result of a compare-and-set.
#[derive(Debug)]
pub enum CompareAndSetOutcome {
    /// The record was written.
    Applied {
        /// The key's new index.
        modify_index: u64,
    },
    /// The record was not written because the key's index has changed.
    Conflict,
    /// The record was not written because the session has ended. All cached knowledge of the store's keys is invalid.
    SessionEnded,
    /// The call failed, or its response is not conclusive.
    Failed(StoreError),
}

/// A job and its stored lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedLease {
    /// The job's name.
    pub job: String,
    /// The lease. `None` if the key does not exist.
    pub lease: Option<StoredLease>,
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseListing {
    /// One entry per requested job.
    pub leases: Vec<ListedLease>,
    /// The store's index at the time of the read. 0 if unknown.
    pub store_index: u64,
}
