//! The settings of an instance in the cluster.

use membership::authentication::Keyring;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The settings of this instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the instance.
    pub instance: String,
    /// Gossip. `None` for an instance without other members.
    pub gossip: Option<Gossip>,
    /// The lease store.
    pub lease_store: LeaseStore,
    /// The number of members that attempt a run if the owner of the job does not.
    pub standbys: usize,
    /// The maximum clock skew between two instances.
    pub max_clock_skew: Duration,
    /// Milliseconds added to this instance's Unix clock, to test the effect of clock offsets.
    pub clock_offset_ms: i64,
    /// The maximum number of concurrent runs.
    pub max_concurrent_runs: usize,
    /// Health checks of the backends. `None` if they are disabled.
    pub health_checks: Option<HealthChecks>,
}

/// The settings of gossip.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// The UDP address on which to receive gossip.
    pub listen: SocketAddr,
    /// The address announced to the other members.
    pub advertise: SocketAddr,
    /// Addresses through which to join the cluster.
    pub peers: Vec<SocketAddr>,
    /// The keys that authenticate datagrams.
    pub keyring: Keyring,
    /// The time between two gossip rounds.
    pub period: Duration,
    /// The time of suspicion after which a member is declared dead.
    pub suspicion_timeout: Duration,
}

/// The store that holds the leases.
#[derive(Clone, Debug)]
pub enum LeaseStore {
    /// Memory of this process, for a single instance.
    Local,
    /// Consul's KV store.
    Consul {
        /// The address of the HTTP API.
        address: SocketAddr,
        /// The prefix of all keys.
        prefix: String,
        /// The timeout of a call.
        timeout: Duration,
        /// The file with the ACL token, if required. The token must allow writes below `prefix`, and writing and reading
        /// sessions.
        token_file: Option<PathBuf>,
    },
}

/// The settings of health checks.
#[derive(Clone, Debug)]
pub struct HealthChecks {
    /// The path to request.
    pub path: String,
    /// The timeout for a response with a status from 200 to 299.
    pub timeout: Duration,
    /// The period, the thresholds and the ejection limit.
    pub config: health_check::Config,
}

/// A periodic job that makes an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpJob {
    /// The name of the job.
    pub name: String,
    /// The time between two runs.
    pub period: Duration,
    /// The URL of the POST request.
    pub url: String,
    /// The timeout of the call.
    pub timeout: Duration,
}

/// A backend to check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The id of the backend, the same on all instances.
    pub id: String,
    /// The address to check.
    pub address: SocketAddr,
}
