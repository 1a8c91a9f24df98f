//! Instances of services in the catalog, and services registered through the agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The status of a health check, which Consul reports by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CheckStatus {
    /// `passing`. Queries with the parameter `passing` return only instances whose checks all have this status.
    #[default]
    Passing,
    /// `warning`. Queries with the parameter `passing` leave the instance out.
    Warning,
    /// `critical`. Queries with the parameter `passing` leave the instance out.
    Critical,
}

impl CheckStatus {
    /// Returns the status as Consul's API spells it.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Passing => "passing",
            Self::Warning => "warning",
            Self::Critical => "critical",
        }
    }
}

/// The relative weights of a service instance, for load balancing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Weight while the check of the instance passes.
    pub passing: u32,
    /// Weight while the check of the instance is in warning state.
    pub warning: u32,
}

/// An instance of a service, as the health and catalog endpoints return it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Id of the instance (`ServiceID` in the catalog).
    pub id: String,
    /// The address at which the instance listens.
    pub address: SocketAddr,
    /// The status of the instance's check.
    pub status: CheckStatus,
    /// Whether the instance is in maintenance mode, which adds a critical check.
    pub in_maintenance: bool,
    /// Whether the check of the instance's node (`serfHealth`) passes.
    pub is_node_healthy: bool,
    /// Weights of the instance by the status of its check.
    pub weights: Weights,
    /// Tags, by which queries can select instances (`tag`).
    pub tags: Vec<String>,
    /// Metadata as names and values (`Meta`).
    pub meta: BTreeMap<String, String>,
}

impl Service {
    /// Creates an instance with passing checks, weights of 1, and neither tags nor metadata.
    pub fn new(id: &str, address: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            address,
            status: CheckStatus::Passing,
            in_maintenance: false,
            is_node_healthy: true,
            weights: Weights { passing: 1, warning: 1 },
            tags: Vec::new(),
            meta: BTreeMap::new(),
        }
    }

    /// Returns the instance with another status of its check.
    #[must_use]
    pub fn with_status(self, status: CheckStatus) -> Self {
        Self { status, ..self }
    }

    pub(crate) fn has_tag(&self, tag: &str) -> bool {
        self.tags.iter().any(|own_tag| own_tag == tag)
    }

    /// Whether all checks pass.
    pub(crate) fn is_passing(&self) -> bool {
        self.status == CheckStatus::Passing && !self.in_maintenance && self.is_node_healthy
    }
}

/// A service registered through the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Name of the service. The id is the same unless the registration has its own.
    pub name: String,
    /// Port of the service; 0 if the registration has no valid port.
    pub port: u16,
    /// Number of times that the TTL check of the service was reported as passing since the registration.
    pub passed_checks: u64,
}
