//! What the console shows of a watch.

use super::ServiceWatch;
use crate::sync::locked;
use catalogue::{EligibilityReason, Endpoint, EndpointNumber};

/// A watch as the console shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchStatus {
    /// The endpoints, by number.
    pub endpoints: Vec<EndpointStatus>,
    /// Where the list comes from, and how old the last response is.
    pub origin: String,
}

/// An endpoint as the console shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Its id.
    pub id: String,
    /// Its number.
    pub number: EndpointNumber,
    /// Its health, or why it is not eligible.
    pub description: String,
    /// Whether it gets new requests.
    pub eligible: bool,
}

impl ServiceWatch {
    /// The present status.
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
