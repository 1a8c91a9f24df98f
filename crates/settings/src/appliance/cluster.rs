//! The tables `[cluster]`, `[probe]` and `[[duty]]`: instances that share periodic jobs, and health checks.

use crate::SettingsError;
use crate::validation::{
    PERIODS_MS, check_identifier, check_loopback, check_minimum, check_range, check_unique, invalid,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

const MAX_PREFIX_BYTES: usize = 128;
/// ms; gossip rounds and time-outs of the lease store.
const SHORT_SPANS_MS: std::ops::RangeInclusive<u64> = 10..=10_000;
const MAX_CLOCK_SKEW_MS: u64 = 10_000;
/// Each standby reads the lease store in each period.
const MAX_STANDBYS: usize = 15;

/// How this instance takes part in a cluster.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterConfig {
    /// Its name, which no other instance has.
    pub name: String,
    /// Where it receives gossip (UDP).
    pub listen: SocketAddr,
    /// Where the others reach it, if not at `listen`.
    pub advertise: Option<SocketAddr>,
    /// Where others may be found at first.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The file with the keys that authenticate gossip, relative to this file's directory.
    pub key_file: PathBuf,
    /// Prefix of all keys in the lease store.
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// The Consul that stores the leases, if not `consul.address`.
    pub store: Option<SocketAddr>,
    /// The file with the ACL token for it, relative to this file's directory; without it, and without `store`, that of
    /// `consul`.
    pub store_token_file: Option<PathBuf>,
    /// Time-out of a call to it, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub store_timeout_ms: u64,
    /// Members that stand by behind the first for a job.
    #[serde(default = "default_standbys")]
    pub standbys: usize,
    /// The most by which the clocks of two instances may differ, in milliseconds.
    #[serde(rename = "skew_ms", default = "default_max_clock_skew_ms")]
    pub max_clock_skew_ms: u64,
    /// Interval of gossip, in milliseconds.
    #[serde(rename = "gossip_ms", default = "default_gossip_interval_ms")]
    pub gossip_interval_ms: u64,
    /// A suspected member counts as dead after this many milliseconds.
    #[serde(rename = "suspect_ms", default = "default_suspicion_timeout_ms")]
    pub suspicion_timeout_ms: u64,
    /// Added to the wall clock, in milliseconds: for tests with clocks that differ.
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
        check_loopback("cluster", addresses, "gossip is authenticated, but what it says can be read")?;
        if self.advertise.unwrap_or(self.listen).port() == 0 {
            let remedy = "name a port that the others can know";
            return Err(SettingsError::PortUnknown { key: "cluster.listen", remedy });
        }
        self.validate_prefix()?;
        check_range("cluster.gossip_ms", self.gossip_interval_ms, SHORT_SPANS_MS)?;
        check_minimum("cluster.suspect_ms", self.suspicion_timeout_ms, 2 * self.gossip_interval_ms)?;
        check_range("cluster.store_timeout_ms", self.store_timeout_ms, SHORT_SPANS_MS)?;
        check_range("cluster.skew_ms", self.max_clock_skew_ms, 0..=MAX_CLOCK_SKEW_MS)?;
        check_range("cluster.standbys", self.standbys, 0..=MAX_STANDBYS)
    }

    fn validate_prefix(&self) -> Result<(), SettingsError> {
        let prefix = &self.prefix;
        let valid = (1..=MAX_PREFIX_BYTES).contains(&prefix.len())
            && !prefix.starts_with('/')
            && !prefix.ends_with('/');
        if valid {
            return Ok(());
        }
        let requirement = format!("1 to {MAX_PREFIX_BYTES} bytes without a slash at either end");
        Err(invalid("cluster.prefix", format!("{prefix:?}"), requirement))
    }
}

/// Active health checks of the backends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthCheckConfig {
    /// The path of the GET request.
    pub path: String,
    /// Milliseconds between two checks of a backend.
    #[serde(default = "default_health_check_period_ms")]
    pub period_ms: u64,
    /// Milliseconds within which it must respond with 200 to 299.
    #[serde(default = "default_health_check_timeout_ms")]
    pub timeout_ms: u64,
    /// Consecutive failures that make a backend unhealthy.
    #[serde(rename = "down_after", default = "default_threshold")]
    pub unhealthy_threshold: u32,
    /// Consecutive successes that make it healthy again.
    #[serde(rename = "up_after", default = "default_threshold")]
    pub healthy_threshold: u32,
    /// Limit on the share of the backends that health checks may take out of use at once.
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
            return Err(invalid("probe.path", format!("{:?}", self.path), "a path"));
        }
        check_range("probe.period_ms", self.period_ms, PERIODS_MS)?;
        check_range("probe.timeout_ms", self.timeout_ms, 1..=self.period_ms)?;
        check_minimum("probe.down_after", self.unhealthy_threshold, 1)?;
        check_minimum("probe.up_after", self.healthy_threshold, 1)?;
        if !(0.0..1.0).contains(&self.max_ejected_share) {
            let requirement = "0 or above and below 1: health checks may never take out all backends";
            return Err(invalid("probe.most_out", self.max_ejected_share, requirement));
        }
        Ok(())
    }
}

/// A periodic job that is an HTTP call.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeriodicJobConfig {
    /// Its name.
    pub name: String,
    /// It runs once in this many milliseconds.
    pub period_ms: u64,
    /// The target of the POST request: `http://ADDRESS:PORT/PATH`.
    pub url: String,
    /// Milliseconds within which the target must respond.
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
        check_range(key("period_ms"), self.period_ms, PERIODS_MS)?;
        check_minimum(key("timeout_ms"), self.timeout_ms, 1)?;
        if !self.has_loopback_target() || !is_printable(&self.url) {
            let requirement = "http://ADDRESS:PORT/PATH on loopback";
            return Err(invalid(key("url"), format!("{:?}", self.url), requirement));
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

/// Checks the three tables, by themselves and together.
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
