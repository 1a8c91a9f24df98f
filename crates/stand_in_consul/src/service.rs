//! What the catalogue lists, and what the agent's pages register.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The status of a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CheckStatus {
    /// It passes.
    #[default]
    Passing,
    /// It warns.
    Warning,
    /// It fails.
    Critical,
}

impl CheckStatus {
    /// The name on Consul's pages.
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
    /// While its check passes.
    pub passing: u32,
    /// While its check warns.
    pub warning: u32,
}

/// An instance of a service, as the health and catalogue pages show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The status of its check.
    pub status: CheckStatus,
    /// It is in maintenance.
    pub in_maintenance: bool,
    /// Its node's own check passes.
    pub is_node_healthy: bool,
    /// Its weights.
    pub weights: Weights,
    /// Its tags.
    pub tags: Vec<String>,
    /// Its metadata.
    pub meta: BTreeMap<String, String>,
}

impl Service {
    /// An instance whose check passes.
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

    /// The same instance with another status of its check.
    #[must_use]
    pub fn with_status(self, status: CheckStatus) -> Self {
        Self { status, ..self }
    }

    /// Whether all checks pass.
    pub(crate) fn is_passing(&self) -> bool {
        self.status == CheckStatus::Passing && !self.in_maintenance && self.is_node_healthy
    }
}

/// A service that was registered through the agent's pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The service's name.
    pub name: String,
    /// Its port.
    pub port: u16,
    /// How often its TTL check has passed.
    pub passed_checks: u64,
}
