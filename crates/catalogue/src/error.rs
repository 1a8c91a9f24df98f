//! Errors of health responses, of the instances in them, and of the cache file.

use crate::format::{CACHE_VERSION, CAPACITY_KEY, MAX_INSTANCES, STARTED_KEY};
use std::time::Duration;

/// Why a response is rejected. The endpoint list in use stays in force.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The body is not JSON, or does not have the schema of the health API.
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The response lists more than [`MAX_INSTANCES`] instances.
    #[error("{count} instances, more than {MAX_INSTANCES}")]
    TooManyInstances {
        /// Number of instances in the response.
        count: usize,
    },
}

/// Why an instance is left out of the endpoint list. The other instances of the response are used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InstanceError {
    /// The address is not an IP address. Host names are not resolved.
    #[error("no usable address {0:?}")]
    Address(String),
    /// The port is 0 or above 65535.
    #[error("no usable port {0}")]
    Port(u32),
    /// The weight times the capacity is negative, too large, or not a number.
    #[error("no usable weight {0}")]
    Weight(f64),
    /// The capacity in the metadata is not a number, or is out of range.
    #[error("{CAPACITY_KEY} is {0:?}, and not 0.01 to 1000")]
    Capacity(String),
    /// The start time in the metadata is not a number of milliseconds.
    #[error("{STARTED_KEY} is {0:?}, and no time")]
    Started(String),
}

/// Why a cache file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CachedListError {
    /// The file does not start with the header of a cache file.
    #[error("it is no list of snowfield's")]
    NotAListFile,
    /// This program does not support the version of the format.
    #[error("its version is {0:?}, and {known} is known", known = CACHE_VERSION)]
    UnknownVersion(String),
    /// The file is truncated or altered: its checksum does not match.
    #[error("it was cut short or altered")]
    Corrupt,
    /// The list is older than allowed.
    #[error("it is {} s old, more than allowed", age.as_secs())]
    TooOld {
        /// Age of the list.
        age: Duration,
    },
    /// The list is dated in the future: a clock was or is wrong.
    #[error("it is from {} s in the future", ahead.as_secs())]
    FromTheFuture {
        /// Time from the present to its date.
        ahead: Duration,
    },
}

#[cfg(test)]
mod tests;
