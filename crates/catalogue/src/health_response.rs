//! Parser of the response to `/v1/health/service/NAME`, based on Consul's public documentation of the health API and of checks.
//!
//! A query without the parameter `passing` returns every registered instance with all its checks, so one response is a consistent
//! view of registration and health. The catalogue API is not queried, because it has no further information.

mod instance;
mod wire;

use crate::error::{InstanceError, ResponseError};
use crate::format::MAX_INSTANCES;

pub use instance::{HealthStatus, Instance};

/// The instances of a service in one response of the health API.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthResponse {
    /// Valid instances, sorted by id.
    pub instances: Vec<Instance>,
    /// Entries that are not used, each with its error.
    pub invalid: Vec<InvalidInstance>,
}

/// An entry of a response that is not a valid instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidInstance {
    /// Node name and service id of the entry, separated by a slash.
    pub id: String,
    /// Why the entry is invalid.
    pub error: InstanceError,
}

impl HealthResponse {
    /// Parses the body of a response.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a response of the health API, or has more than [`MAX_INSTANCES`] instances.
    pub fn parse(body: &[u8]) -> Result<Self, ResponseError> {
        let entries: Vec<wire::HealthEntry> = serde_json::from_slice(body)?;
        if entries.len() > MAX_INSTANCES {
            return Err(ResponseError::TooManyInstances { count: entries.len() });
        }
        let mut response = Self::default();
        for entry in entries {
            let id = format!("{}/{}", entry.node.node, entry.service.id);
            match Instance::from_entry(&id, &entry) {
                Ok(instance) => response.instances.push(instance),
                Err(error) => response.invalid.push(InvalidInstance { id, error }),
            }
        }
        response.remove_duplicates();
        Ok(response)
    }

    /// Sorts the instances by id, and keeps only the one with the worst health status of those with the same id.
    fn remove_duplicates(&mut self) {
        self.instances.sort_by(|a, b| a.id.cmp(&b.id));
        self.instances.dedup_by(|later, earlier| {
            let is_duplicate = earlier.id == later.id;
            if is_duplicate && later.health > earlier.health {
                std::mem::swap(earlier, later);
            }
            is_duplicate
        });
    }
}

#[cfg(test)]
mod tests;
