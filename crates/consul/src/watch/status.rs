//! Status of a watch for the console.

use super::ServiceWatch;
use crate::sync::locked;
use catalogue::{EligibilityReason, Endpoint, EndpointNumber};

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
        let age = state
            .last_response
            .map_or(String::new(), |at| format!(", last answer {} s ago", at.elapsed().as_secs()));
        let endpoints = state.list.endpoints.iter().map(|endpoint| self.endpoint_status(endpoint)).collect();
        WatchStatus { endpoints, origin: format!("{}{age}", state.origin) }
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
