//! What can be wrong with a response of Consul, an instance in it, or the file of the cached list.

use crate::format::{CACHE_VERSION, CAPACITY_KEY, MAX_INSTANCES, STARTED_KEY};

/// A response that cannot be used. The list in use stays.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// It is not JSON, or not what the health API returns.
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// It lists more than [`MAX_INSTANCES`] instances.
    #[error("{count} instances, more than {MAX_INSTANCES}")]
    TooManyInstances {
        /// How many it lists.
        count: usize,
    },
}

/// An instance that cannot be used. It is left out, and the others stay.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InstanceError {
    /// Its address is no IP address. Names are not resolved.
    #[error("no usable address {0:?}")]
    Address(String),
    /// Its port is 0, or above 65535.
    #[error("no usable port {0}")]
    Port(u32),
    /// Its weight times its capacity is negative, too large or no number.
    #[error("no usable weight {0}")]
    Weight(f64),
    /// The capacity in its metadata is out of range.
    #[error("{CAPACITY_KEY} is {0:?}, and not 0.01 to 1000")]
    Capacity(String),
    /// The start in its metadata is no time in milliseconds.
    #[error("{STARTED_KEY} is {0:?}, and no time")]
    Started(String),
}

/// A file of the cached list that must not be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CachedListError {
    /// It does not begin as such a file does.
    #[error("it is no list of snowfield's")]
    NotAListFile,
    /// Its format has a version that this program does not know.
    #[error("its version is {0:?}, and {known} is known", known = CACHE_VERSION)]
    UnknownVersion(String),
    /// It was truncated or altered: the checksum does not match.
    #[error("it was cut short or altered")]
    Corrupt,
    /// It is older than allowed.
    #[error("it is {age_seconds} s old, more than allowed")]
    TooOld {
        /// Its age.
        age_seconds: u64,
    },
    /// Its time has not come yet: a clock is wrong.
    #[error("it is from {ahead_seconds} s in the future")]
    FromTheFuture {
        /// How far it is ahead.
        ahead_seconds: u64,
    },
}

#[cfg(test)]
mod tests;
