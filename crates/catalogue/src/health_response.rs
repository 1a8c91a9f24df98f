//! The response of `/v1/health/service/NAME`, by Consul's public documentation of the health API and of checks.
//!
//! One query without `passing` returns every registered instance with all its checks, so that registration and health are of
//! one moment. The catalogue's page of the same service holds nothing beyond it.

mod instance;
mod wire;

use crate::error::{InstanceError, ResponseError};
use crate::format::MAX_INSTANCES;

pub use instance::{HealthStatus, Instance};

/// The instances of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthResponse {
    /// The instances that can be used, by id.
    pub instances: Vec<Instance>,
    /// The others.
    pub invalid: Vec<InvalidInstance>,
}

/// An instance that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidInstance {
    /// Its node's name and its service id.
    pub id: String,
    /// Why.
    pub error: InstanceError,
}

impl HealthResponse {
    /// Parses the body of a response.
    ///
    /// # Errors
    ///
    /// The body is not what the health API returns, or lists too many instances.
    pub fn parse(body: &[u8]) -> Result<Self, ResponseError> {
        let rows: Vec<wire::Row> = serde_json::from_slice(body)?;
        if rows.len() > MAX_INSTANCES {
            return Err(ResponseError::TooManyInstances { count: rows.len() });
        }
        let mut response = Self::default();
        for row in rows {
            let id = format!("{}/{}", row.node.node, row.service.id);
            match Instance::from_row(&id, &row) {
                Ok(instance) => response.instances.push(instance),
                Err(error) => response.invalid.push(InvalidInstance { id, error }),
            }
        }
        response.remove_duplicates();
        Ok(response)
    }

    /// One id names one instance; of two the one in worse health counts.
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
