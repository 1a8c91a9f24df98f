//! The tables `[cluster]`, `[probe]` and `[[duty]]`: cluster membership, health checks and periodic jobs.

use crate::SettingsError;
use crate::validation::{
    PERIOD_RANGE_MS, check_identifier, check_loopback, check_minimum, check_range, check_unique,
    invalid_value,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

const MAX_PREFIX_BYTES: usize = 128;
/// Allowed gossip intervals and timeouts of the lease store, in milliseconds.
const INTERVAL_RANGE_MS: RangeInclusive<u64> = 10..=10_000;
const MAX_CLOCK_SKEW_MS: u64 = 10_000;
/// Maximum number of standbys. Each standby reads the lease store once per period.
const MAX_STANDBYS: usize = 15;

/// Membership of this instance in a cluster.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterConfig {
    /// Name of this instance, which must be unique in the cluster.
    pub name: String,
    /// UDP address at which this instance receives gossip.
    pub listen: SocketAddr,
    /// Address at which other instances send gossip to this instance; `listen` by default.
    pub advertise: Option<SocketAddr>,
    /// Gossip addresses of the members that this instance contacts to join the cluster.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// File with the keys that authenticate gossip, relative to the directory of this file.
    pub key_file: PathBuf,
    /// Prefix of all keys in the lease store.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// Address of the Consul agent whose key-value store has the leases; `consul.address` by default.
    pub store: Option<SocketAddr>,
    /// File with the ACL token for the lease store, relative to the directory of this file. If neither this nor `store` is
    /// configured, the token file of `consul` is used.
    pub store_token_file: Option<PathBuf>,
    /// Timeout of a call to the lease store, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub store_timeout_ms: u64,
    /// Number of standby instances per periodic job, in addition to its owner.
    #[serde(default = "default_standbys")]
    pub standbys: usize,
    /// Maximum clock skew between two instances, in milliseconds.
    #[serde(rename = "skew_ms", default = "default_max_clock_skew_ms")]
    pub max_clock_skew_ms: u64,
    /// Gossip interval in milliseconds.
    #[serde(rename = "gossip_ms", default = "default_gossip_interval_ms")]
    pub gossip_interval_ms: u64,
    /// Time in milliseconds after which a suspected member counts as dead.
    #[serde(rename = "suspect_ms", default = "default_suspicion_timeout_ms")]
    pub suspicion_timeout_ms: u64,
    /// Offset added to the wall clock in milliseconds, for tests of clock skew.
    #[serde(default)]
    pub clock_offset_ms: i64,
}

fn default_prefix() -> String {
    "snowfield".into()
}

fn default_store_timeout_ms() -> u64 {
    200
}

fn default_standbys() -> usize {
    3
}

fn default_max_clock_skew_ms() -> u64 {
    300
}

fn default_gossip_interval_ms() -> u64 {
    100
}

fn default_suspicion_timeout_ms() -> u64 {
    1_000
}

impl ClusterConfig {
    fn validate(&self) -> Result<(), SettingsError> {
        check_identifier("cluster.name", &self.name)?;
        let addresses = self.peers.iter().copied().chain([self.listen]).chain(self.advertise);
        check_loopback("cluster", addresses, "gossip is authenticated, but not encrypted")?;
        if self.advertise.unwrap_or(self.listen).port() == 0 {
            let remedy = "set a fixed port";
            return Err(SettingsError::PortZero { key: "cluster.listen", remedy });
        }
        self.validate_prefix()?;
        check_range("cluster.gossip_ms", self.gossip_interval_ms, INTERVAL_RANGE_MS)?;
        check_minimum("cluster.suspect_ms", self.suspicion_timeout_ms, 2 * self.gossip_interval_ms)?;
        check_range("cluster.store_timeout_ms", self.store_timeout_ms, INTERVAL_RANGE_MS)?;
        check_range("cluster.skew_ms", self.max_clock_skew_ms, 0..=MAX_CLOCK_SKEW_MS)?;
        check_range("cluster.standbys", self.standbys, 0..=MAX_STANDBYS)
    }

    fn validate_prefix(&self) -> Result<(), SettingsError> {
        let prefix = &self.prefix;
        let has_outer_slash = prefix.starts_with('/') || prefix.ends_with('/');
        if (1..=MAX_PREFIX_BYTES).contains(&prefix.len()) && !has_outer_slash {
            return Ok(());
        }
        let requirement = format!("1 to {MAX_PREFIX_BYTES} bytes without a slash at either end");
        Err(invalid_value("cluster.prefix", format!("{prefix:?}"), requirement))
    }
}

/// Active health checks of the backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthCheckConfig {
    /// Path of the GET request that checks a backend.
    pub path: String,
    /// Interval between two checks of a backend, in milliseconds.
    #[serde(default = "default_health_check_period_ms")]
    pub period_ms: u64,
    /// Time in milliseconds within which a healthy backend responds with a status from 200 to 299.
    #[serde(default = "default_health_check_timeout_ms")]
    pub timeout_ms: u64,
    /// Number of consecutive failures after which a backend is unhealthy.
    #[serde(rename = "down_after", default = "default_threshold")]
    pub unhealthy_threshold: u32,
    /// Number of consecutive successes after which an unhealthy backend is healthy again.
    #[serde(rename = "up_after", default = "default_threshold")]
    pub healthy_threshold: u32,
    /// Maximum share of the backends that health checks may eject at the same time.
    #[serde(rename = "most_out", default = "default_max_ejected_share")]
    pub max_ejected_share: f64,
}

fn default_health_check_period_ms() -> u64 {
    2_000
}

fn default_health_check_timeout_ms() -> u64 {
    500
}

fn default_threshold() -> u32 {
    2
}

fn default_max_ejected_share() -> f64 {
    0.34
}

impl HealthCheckConfig {
    fn validate(&self) -> Result<(), SettingsError> {
        if !self.path.starts_with('/') || !is_printable(&self.path) {
            return Err(invalid_value(
                "probe.path",
                format!("{:?}", self.path),
                "a path that begins with a slash, of printable ASCII characters",
            ));
        }
        check_range("probe.period_ms", self.period_ms, PERIOD_RANGE_MS)?;
        check_range("probe.timeout_ms", self.timeout_ms, 1..=self.period_ms)?;
        check_minimum("probe.down_after", self.unhealthy_threshold, 1)?;
        check_minimum("probe.up_after", self.healthy_threshold, 1)?;
        if !(0.0..1.0).contains(&self.max_ejected_share) {
            let requirement = "0 or above and below 1: health checks may never take out all backends";
            return Err(invalid_value("probe.most_out", self.max_ejected_share, requirement));
        }
        Ok(())
    }
}

/// A periodic job: an HTTP POST request to a service on this machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeriodicJobConfig {
    /// Name of the job, in keys of the lease store and in log lines.
    pub name: String,
    /// Time between the starts of two runs of the job, in milliseconds.
    pub period_ms: u64,
    /// URL of the POST request: `http://ADDRESS:PORT/PATH`.
    pub url: String,
    /// Time in milliseconds within which the service must answer the POST request.
    #[serde(default = "default_job_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_job_timeout_ms() -> u64 {
    1_000
}

impl PeriodicJobConfig {
    fn validate(&self) -> Result<(), SettingsError> {
        check_identifier("duty.name", &self.name)?;
        let key = |name: &str| format!("duty {:?}: {name}", self.name);
        check_range(key("period_ms"), self.period_ms, PERIOD_RANGE_MS)?;
        check_minimum(key("timeout_ms"), self.timeout_ms, 1)?;
        if !self.has_loopback_target() || !is_printable(&self.url) {
            let requirement = "http://ADDRESS:PORT/PATH on loopback";
            return Err(invalid_value(key("url"), format!("{:?}", self.url), requirement));
        }
        Ok(())
    }

    fn has_loopback_target(&self) -> bool {
        let authority = self.url.strip_prefix("http://").and_then(|rest| rest.split('/').next());
        let address = authority.and_then(|text| text.parse::<SocketAddr>().ok());
        address.is_some_and(|address| address.ip().is_loopback() && address.port() != 0)
    }
}

fn is_printable(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Validates the tables `[cluster]`, `[probe]` and `[[duty]]`, and the lease store's timeout against the shortest period.
pub(super) fn validate(
    cluster: Option<&ClusterConfig>,
    health_check: Option<&HealthCheckConfig>,
    jobs: &[PeriodicJobConfig],
) -> Result<(), SettingsError> {
    cluster.map_or(Ok(()), ClusterConfig::validate)?;
    health_check.map_or(Ok(()), HealthCheckConfig::validate)?;
    check_unique("duty", jobs.iter().map(|job| job.name.as_str()))?;
    jobs.iter().try_for_each(PeriodicJobConfig::validate)?;
    let periods = jobs.iter().map(|job| job.period_ms).chain(health_check.map(|check| check.period_ms));
    match (cluster, periods.min()) {
        (Some(cluster), Some(period_ms)) if cluster.store_timeout_ms * 2 > period_ms => {
            Err(SettingsError::StoreTimeoutTooLong { timeout_ms: cluster.store_timeout_ms, period_ms })
        }
        _ => Ok(()),
    }
}
