//! Settings of the Consul client and of the watches.

use catalogue::StabilityConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Addresses of the Consul agents, and parameters of all queries to these agents.
#[derive(Clone, Debug)]
pub struct ConsulConfig {
    /// HTTP addresses of the agents in order of preference; at least one. The first one gets the registration.
    pub agents: Vec<SocketAddr>,
    /// File with the ACL token, read before each request; `None` for requests without a token.
    pub token_file: Option<PathBuf>,
    /// Datacenter to query; `None` for the agent's own datacenter.
    pub datacenter: Option<String>,
    /// Namespace to query; `None` for the agent's own namespace.
    pub namespace: Option<String>,
    /// Admin partition to query; `None` for the agent's own partition.
    pub partition: Option<String>,
    /// Maximum time since the responding server's last contact with the leader. `None` for reads from the leader.
    pub max_staleness: Option<Duration>,
    /// Maximum duration of a blocking query (`wait`), to which Consul adds a jitter.
    pub blocking_wait: Duration,
}

/// Settings of the watch on one service.
#[derive(Clone, Debug)]
pub struct WatchConfig {
    /// Name of the service in Consul.
    pub service: String,
    /// Restricts the watch to instances with this tag.
    pub tag: Option<String>,
    /// Restricts the watch by a filter expression in Consul's syntax.
    pub filter: Option<String>,
    /// Settings of flap damping and of retention after a sudden loss.
    pub stability: StabilityConfig,
    /// The first endpoint of the service gets the number after `last_number`.
    pub last_number: u32,
}
