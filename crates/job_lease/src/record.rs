//! The record stored under a job's key.

use serde::{Deserialize, Serialize};
use std::fmt;
use timestamps::UnixTime;

/// A run of a job, identified by its scheduled time in Unix milliseconds. The id increases from run to run and serves as
/// the fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(pub u64);

impl From<RunId> for UnixTime {
    /// Returns the scheduled time of a run.
    fn from(run: RunId) -> Self {
        Self::from_millis(run.0)
    }
}

impl From<UnixTime> for RunId {
    /// Returns the id of the run that is scheduled for this time.
    fn from(scheduled: UnixTime) -> Self {
        Self(scheduled.as_millis())
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The lease id in a seed record ([`LeaseRecord::seed`]), which has no lease holder.
const SEED_LEASE_ID: u64 = 0;

/// The value under a job's key, which states the last settled run. The record is stored as JSON with the names given by `rename`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The acquired run or, in a seed record, the last run that must not start. This run and all earlier ones are settled.
    #[serde(rename = "round")]
    pub run: RunId,
    /// The name of the instance that holds the lease. Empty in a seed record ([`LeaseRecord::seed`]).
    #[serde(rename = "by")]
    pub holder: String,
    /// The id of the lease; 0 in a seed record. A restarted instance uses a different id for the same run.
    #[serde(rename = "id")]
    pub lease_id: u64,
}

impl LeaseRecord {
    /// Returns a seed record, which has no lease holder. It settles all runs up to and including `run`, so that no instance can
    /// acquire them.
    pub fn seed(run: RunId) -> Self {
        Self { run, holder: String::new(), lease_id: SEED_LEASE_ID }
    }

    /// Returns whether this is a seed record ([`LeaseRecord::seed`]), so that no instance holds the lease.
    pub fn is_seed(&self) -> bool {
        self.lease_id == SEED_LEASE_ID
    }
}

/// A lease record and the version of the key that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredLease {
    /// The record of the last settled run.
    pub record: LeaseRecord,
    /// The store's index at the key's last modification (Consul's `ModifyIndex`).
    pub modify_index: u64,
}
