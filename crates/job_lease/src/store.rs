//! Sessions, and the results of reads and writes.

use crate::{StoreError, StoredLease};

/// A session with the store: writes bound to it are void once it has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    /// The store's id of the session.
    pub id: String,
    /// The key that it holds, by which a transaction checks that the session still exists.
    pub key: String,
}

/// The result of a compare-and-set.
#[derive(Debug)]
pub enum CompareAndSetOutcome {
    /// The record was written.
    Applied {
        /// The key's index from now on.
        modify_index: u64,
    },
    /// Another instance has replaced the record since it was read.
    Conflict,
    /// The session has ended: nothing was applied, and nothing known about the store's keys holds any more.
    SessionEnded,
    /// There is no conclusive response.
    Failed(StoreError),
}

/// A job and what its key holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedLease {
    /// The job's name.
    pub job: String,
    /// Its lease; `None` where the key does not exist.
    pub lease: Option<StoredLease>,
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseListing {
    /// One entry for each job asked for.
    pub leases: Vec<ListedLease>,
    /// The store's index at the time of reading; 0 where it is not known.
    pub store_index: u64,
}
