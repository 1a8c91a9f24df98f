//! The settings of the cluster on one instance. The program reads them from its configuration files.

use membership::authentication::Keyring;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The settings with which [`Cluster::start`](crate::Cluster::start) starts this instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this instance, unique in the cluster. Gossip, leases and the `Snowfield-By` header carry it.
    pub instance: String,
    /// The settings of gossip. `None` for an instance that runs without other members.
    pub gossip: Option<Gossip>,
    /// The store that holds the leases of jobs.
    pub lease_store: LeaseStore,
    /// The number of standby members per job. They attempt a run, one after the other, if the member that owns the job does not
    /// acquire it.
    pub standbys: usize,
    /// The maximum clock skew between two instances.
    pub max_clock_skew: Duration,
    /// Milliseconds added to this instance's Unix clock, to test the effect of clock offsets.
    pub clock_offset_ms: i64,
    /// The maximum number of concurrent runs.
    pub max_concurrent_runs: usize,
    /// The settings of health checks. `None` if backends are not checked.
    pub health_checks: Option<HealthChecks>,
}

/// The addresses, keys and periods of gossip.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// The UDP address to which the gossip socket is bound.
    pub listen: SocketAddr,
    /// The UDP address that is announced to the other members and to which they send gossip.
    pub advertise: SocketAddr,
    /// The gossip addresses of members through which to join the cluster. This instance's own address is skipped.
    pub peers: Vec<SocketAddr>,
    /// The keys that authenticate datagrams.
    pub keyring: Keyring,
    /// The time between two rounds of gossip. Periods of probes and join attempts are multiples of it.
    pub period: Duration,
    /// The time for which a member is suspected before it is declared dead.
    pub suspicion_timeout: Duration,
}

/// The store that holds the leases.
#[derive(Clone, Debug)]
pub enum LeaseStore {
    /// The memory of this process. Suitable for a single instance only.
    Local,
    /// Consul's KV store.
    Consul {
        /// The address of the Consul agent's HTTP API.
        address: SocketAddr,
        /// The prefix of all keys, without a trailing slash.
        prefix: String,
        /// The timeout of each call, the complete response included.
        timeout: Duration,
        /// The file with the ACL token, if required. The token must allow writes below `prefix`, and writing and reading
        /// sessions.
        token_file: Option<PathBuf>,
    },
}

/// The request, the timeout and the thresholds of health checks.
#[derive(Clone, Debug)]
pub struct HealthChecks {
    /// The path of the GET request, with its leading slash.
    pub path: String,
    /// The maximum time until a complete response with a status from 200 to 299. A later or other response is a failed check.
    pub timeout: Duration,
    /// The period, the thresholds and the ejection limit.
    pub config: health_check::Config,
}

/// A periodic job that makes an HTTP POST request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpJob {
    /// The name of the job, unique among the HTTP jobs. The `Snowfield-Duty` header carries it.
    pub name: String,
    /// The time between two runs of the job in the whole cluster.
    pub period: Duration,
    /// The URL of the POST request.
    pub url: String,
    /// The timeout of the request, the complete response included.
    pub timeout: Duration,
}

/// A backend to check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The id of the backend, the same on all instances.
    pub id: String,
    /// The address to which the health check connects.
    pub address: SocketAddr,
}
