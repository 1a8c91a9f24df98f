//! Status of a watch and of its endpoints, for the console.

use super::ServiceWatch;
use crate::sync::locked;
use catalogue::{EligibilityReason, Endpoint, EndpointNumber};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The source of the current endpoint list.
pub(super) enum ListOrigin {
    /// No agent has responded yet, and there was no cached list.
    NoList,
    /// The cache file; no agent has responded since the start.
    CacheFile {
        /// Age of the list when it was read, in whole seconds.
        age: Duration,
    },
    /// The agent at this address, which responded last.
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

/// The endpoints of a watched service and the source of its list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchStatus {
    /// Status of the listed and retained endpoints, in order of their numbers.
    pub endpoints: Vec<EndpointStatus>,
    /// Text with the source of the list and, once an agent has responded, the age of the last response.
    pub origin: String,
}

/// Status of an endpoint, as the console shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Node name and service id of the endpoint's instance.
    pub id: String,
    /// Identifies the endpoint in this process.
    pub number: EndpointNumber,
    /// The instance's health status if the endpoint is listed and eligible, or else why it is retained or not eligible.
    pub description: String,
    /// Whether the endpoint gets new requests.
    pub eligible: bool,
}

impl ServiceWatch {
    /// Returns the status of all endpoints of the current list, with the source of the list.
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
            other => self.describe_reason(other),
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
