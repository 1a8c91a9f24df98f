//! Status of a watch for the console.

use super::ServiceWatch;
use crate::sync::locked;
use catalogue::{EligibilityReason, Endpoint, EndpointNumber};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The source of the endpoint list in use.
pub(super) enum ListOrigin {
    /// There is no list yet.
    NoList,
    /// The cache file.
    CacheFile {
        /// Age of the list when it was read.
        age: Duration,
    },
    /// This agent responded last.
    Agent(SocketAddr),
}

impl fmt::Display for ListOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoList => f.write_str("no list yet"),
            Self::CacheFile { age } => write!(f, "the list on disk, {} s old at the start", age.as_secs()),
            Self::Agent(address) => write!(f, "agent {address}"),
        }
    }
}

/// Status of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchStatus {
    /// Status of its endpoints, in order of their numbers.
    pub endpoints: Vec<EndpointStatus>,
    /// The source of the list and the age of the last response.
    pub origin: String,
}

/// Status of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Its id.
    pub id: String,
    /// Its number.
    pub number: EndpointNumber,
    /// Its health status, or the reason why it is not eligible.
    pub description: String,
    /// Whether it gets new requests.
    pub eligible: bool,
}

impl ServiceWatch {
    /// Returns the present status.
    pub fn status(&self) -> WatchStatus {
        let state = locked(&self.state);
        let endpoints = state.list.endpoints.iter().map(|endpoint| self.endpoint_status(endpoint)).collect();
        let mut origin = state.origin.to_string();
        if let Some(last_response) = state.last_response {
            origin += &format!(", last answer {} s ago", last_response.elapsed().as_secs());
        }
        WatchStatus { endpoints, origin }
    }

    fn endpoint_status(&self, endpoint: &Endpoint) -> EndpointStatus {
        let description = match endpoint.reason {
            EligibilityReason::Listed => endpoint.instance.health.name().to_owned(),
            other => self.describe(other),
        };
        EndpointStatus {
            id: endpoint.instance.id.clone(),
            number: endpoint.number,
            description,
            eligible: endpoint.eligible,
        }
    }
}

#[cfg(test)]
mod tests;
