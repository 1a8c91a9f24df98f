//! What a job's key holds.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A run of a job: the time at which it is scheduled, in Unix milliseconds. It only grows from run to run, and is the
/// run's fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(pub u64);

impl RunId {
    /// The scheduled time in Unix milliseconds.
    pub fn scheduled_unix_ms(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The value under a job's key: the last run that was acquired. Stored as JSON, whose names are those of the `rename`s.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The run. All runs up to it are settled.
    #[serde(rename = "round")]
    pub run: RunId,
    /// The lease holder's name; empty for a seed.
    #[serde(rename = "by")]
    pub holder: String,
    /// Distinguishes this lease from any other, also from one of the same instance before its restart; 0 for a seed.
    #[serde(rename = "id")]
    pub lease_id: u64,
}

impl LeaseRecord {
    /// Whether it is a seed, which nobody runs.
    pub fn is_seed(&self) -> bool {
        self.lease_id == 0
    }
}

/// A record as found in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredLease {
    /// The record.
    pub record: LeaseRecord,
    /// The store's index of the key's last change (Consul's `ModifyIndex`).
    pub modify_index: u64,
}
