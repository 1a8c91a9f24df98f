//! Instances of services in the catalogue, and services registered through the agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The status of a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CheckStatus {
    /// The check passes.
    #[default]
    Passing,
    /// The check is in warning state.
    Warning,
    /// The check is critical.
    Critical,
}

impl CheckStatus {
    /// Its name in Consul's API.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Passing => "passing",
            Self::Warning => "warning",
            Self::Critical => "critical",
        }
    }
}

/// The weights of a service instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Weight while its check passes.
    pub passing: u32,
    /// Weight while its check is in warning state.
    pub warning: u32,
}

/// An instance of a service, as the health and catalogue pages show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its id.
    pub id: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The status of its check.
    pub status: CheckStatus,
    /// Whether it is in maintenance mode.
    pub in_maintenance: bool,
    /// Whether its node's own check passes.
    pub is_node_healthy: bool,
    /// Its weights.
    pub weights: Weights,
    /// Its tags.
    pub tags: Vec<String>,
    /// Its metadata.
    pub meta: BTreeMap<String, String>,
}

impl Service {
    /// Creates an instance whose checks pass.
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
        self.tags.iter().any(|own| own == tag)
    }

    /// Whether all checks pass.
    pub(crate) fn is_passing(&self) -> bool {
        self.status == CheckStatus::Passing && !self.in_maintenance && self.is_node_healthy
    }
}

/// A service registered through the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The service's name.
    pub name: String,
    /// Its port.
    pub port: u16,
    /// Number of heartbeats of its TTL check.
    pub passed_checks: u64,
}
