//! Settings of the Consul client and of the watches.

use catalogue::StabilityConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Addresses of the Consul agents, and how they are queried.
#[derive(Clone, Debug)]
pub struct ConsulConfig {
    /// Agents in order of preference; at least one.
    pub agents: Vec<SocketAddr>,
    /// File with the ACL token, read before each request.
    pub token_file: Option<PathBuf>,
    /// Datacentre, if not the agent's own.
    pub datacenter: Option<String>,
    /// Namespace, if not the agent's own.
    pub namespace: Option<String>,
    /// Partition, if not the agent's own.
    pub partition: Option<String>,
    /// Maximum staleness of a stale read; `None` for consistent reads from the leader.
    pub max_staleness: Option<Duration>,
    /// Maximum duration of a blocking query.
    pub blocking_wait: Duration,
}

/// Settings of the watch on one service.
#[derive(Clone, Debug)]
pub struct WatchConfig {
    /// Name of the service.
    pub service: String,
    /// Restricts the watch to instances with this tag.
    pub tag: Option<String>,
    /// Filter expression in Consul's syntax.
    pub filter: Option<String>,
    /// Damping of sudden changes.
    pub stability: StabilityConfig,
    /// The first endpoint gets the number after this one.
    pub last_number: u32,
}
