//! Where Consul is, and which services are watched.

use catalogue::StabilityConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Where Consul is, and how it is queried.
#[derive(Clone, Debug)]
pub struct ConsulConfig {
    /// Its agents, in order of preference; at least one.
    pub agents: Vec<SocketAddr>,
    /// The file that holds the ACL token; read again for each query.
    pub token_file: Option<PathBuf>,
    /// The datacentre, where not the agent's own.
    pub datacenter: Option<String>,
    /// The namespace, where not the agent's own.
    pub namespace: Option<String>,
    /// The partition, where not the agent's own.
    pub partition: Option<String>,
    /// Any server may respond that has heard from its leader within this many milliseconds; `None` queries the leader.
    pub max_stale_ms: Option<u64>,
    /// How long a blocking query may stay open.
    pub blocking_wait: Duration,
}

/// One service to watch.
#[derive(Clone, Debug)]
pub struct WatchConfig {
    /// Its name.
    pub service: String,
    /// Only instances with this tag.
    pub tag: Option<String>,
    /// Consul's filter expression.
    pub filter: Option<String>,
    /// How sudden changes are damped.
    pub stability: StabilityConfig,
    /// The numbers of its endpoints begin after this.
    pub last_number: u32,
}
