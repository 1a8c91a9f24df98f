//! How an instance takes part in a cluster.

use membership::authentication::Keyring;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How this instance takes part.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub instance: String,
    /// Gossip; without it this instance is alone.
    pub gossip: Option<Gossip>,
    /// Where the leases are kept.
    pub lease_store: LeaseStore,
    /// Members that step in behind the first one for a job.
    pub standbys: usize,
    /// The largest difference between the clocks of two instances, in milliseconds.
    pub max_clock_skew_ms: u64,
    /// Milliseconds added to this instance's Unix clock, to test the effect of a wrong clock.
    pub clock_offset_ms: i64,
    /// Runs that may be in progress at once.
    pub max_concurrent_runs: usize,
    /// Health checks of the backends.
    pub health_checks: Option<HealthChecks>,
}

/// How gossip is exchanged.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// Where it is received (UDP).
    pub listen: SocketAddr,
    /// Where the other members reach it.
    pub advertise: SocketAddr,
    /// Addresses through which to join the cluster.
    pub peers: Vec<SocketAddr>,
    /// Authenticates the datagrams.
    pub keyring: Keyring,
    /// Milliseconds between two rounds of gossip.
    pub period_ms: u64,
    /// Milliseconds after which a suspected member is declared dead.
    pub suspicion_timeout_ms: u64,
}

/// Where the leases are kept.
#[derive(Clone, Debug)]
pub enum LeaseStore {
    /// In this process, for a single instance.
    Local,
    /// In Consul's KV store.
    Consul {
        /// Its HTTP API.
        address: SocketAddr,
        /// In front of all keys.
        prefix: String,
        /// The time limit of a call.
        timeout: Duration,
        /// The file with the ACL token, if calls need one: it must allow writes below `prefix`, and making and reading
        /// sessions.
        token_file: Option<PathBuf>,
    },
}

/// How backends are checked.
#[derive(Clone, Debug)]
pub struct HealthChecks {
    /// The path that is requested.
    pub path: String,
    /// The time within which a status of 200 to 299 must come.
    pub timeout: Duration,
    /// Period, thresholds and the limit of ejections.
    pub config: health_check::Config,
}

/// A periodic job that is an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpJob {
    /// Its name.
    pub name: String,
    /// Milliseconds between two runs.
    pub period_ms: u64,
    /// What is called, by POST.
    pub url: String,
    /// The time limit of the call.
    pub timeout: Duration,
}

/// A backend to be checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its id, the same at all instances.
    pub id: String,
    /// Where it is checked.
    pub address: SocketAddr,
}
