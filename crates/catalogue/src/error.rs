//! Errors of health responses, of the instances in them, and of the cache file.

use crate::format::{CACHE_VERSION, CAPACITY_KEY, MAX_INSTANCES, STARTED_KEY};
use std::time::Duration;

/// Why a health response is rejected. The current endpoint list stays in use.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// Parsing failed: the body is not JSON, or does not have the schema of the health API.
    #[error("the body is not a valid health response: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The response lists more than [`MAX_INSTANCES`] instances.
    #[error("the response lists {count} instances, more than the maximum of {MAX_INSTANCES}")]
    TooManyInstances {
        /// Number of instances in the response.
        count: usize,
    },
}

/// Why an instance of a health response is left out of the endpoint list. The other instances are used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InstanceError {
    /// The address is not an IP address. Host names are not resolved.
    #[error("address {0:?} is not an IP address")]
    Address(String),
    /// `Service.Port` is 0 or above 65535.
    #[error("port {0} is not in the range 1 to 65535")]
    Port(u32),
    /// The weight times the capacity is negative, above 65,535,000, or not a number.
    #[error("weight {0} is negative, too large or not a number")]
    Weight(f64),
    /// The capacity in the service metadata is not a number from 0.01 to 1000.
    #[error("{CAPACITY_KEY} is {0:?}, not a number from 0.01 to 1000")]
    Capacity(String),
    /// The start time in the service metadata is not a whole number of Unix milliseconds.
    #[error("{STARTED_KEY} is {0:?}, not a time in Unix milliseconds")]
    Started(String),
}

/// Why a cache file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CachedListError {
    /// The first line is not the header line of a cache file, so the configured path may be wrong.
    #[error("the file is not an endpoint cache file")]
    NotACacheFile,
    /// The file was written in another format version, of which the text has at most the first 16 characters.
    #[error("the cache file has format version {0:?}, but only {known} is supported", known = CACHE_VERSION)]
    UnsupportedVersion(String),
    /// The checksum in the header line does not match, or the JSON cannot be parsed.
    #[error("it was cut short or altered")]
    Corrupt,
    /// Consul confirmed the list longer ago than the configured maximum age.
    #[error("the cached list is {} s old, more than the maximum age", age.as_secs())]
    TooOld {
        /// Time since Consul confirmed the list, in whole seconds.
        age: Duration,
    },
    /// The date is ahead of this host's clock by more than the accepted skew: the writer's or this host's clock is wrong.
    #[error("the cached list is dated {} s in the future", ahead.as_secs())]
    DatedInFuture {
        /// Time from now until the date of the list.
        ahead: Duration,
    },
}

#[cfg(test)]
mod tests;
