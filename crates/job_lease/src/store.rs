//! Sessions with the lease store, and the results of its reads and writes.

use crate::{StoreError, StoredLease};

/// The expected index of a compare-and-set that requires that the key does not exist.
pub const ABSENT_KEY_INDEX: u64 = 0;

/// A session with the store. Writes bound to the session fail after its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    /// The session id assigned by the store.
    pub id: String,
    /// The key that the session holds. A transaction checks this key to verify that the session exists. Empty for a store in
    /// memory.
    pub key: String,
}

/// The result of a compare-and-set.
#[derive(Debug)]
pub enum CompareAndSetOutcome {
    /// The record was written.
    Applied {
        /// The index of the key after the write.
        modify_index: u64,
    },
    /// The record was not written because the key's index has changed.
    Conflict,
    /// The record was not written because the session has ended. All cached leases are invalid, because the store may have
    /// lost its data.
    SessionEnded,
    /// The call failed, or its response does not state the outcome.
    Failed(StoreError),
}

/// A job and its stored lease, as returned by a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedLease {
    /// The job's name, without the key prefix.
    pub job: String,
    /// The stored lease. `None` if the job's key does not exist.
    pub lease: Option<StoredLease>,
}

/// The leases that a read of the store returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseListing {
    /// One entry per requested job, in the order of the request.
    pub leases: Vec<ListedLease>,
    /// The store's index at the time of the read. 0 if unknown.
    pub store_index: u64,
}
