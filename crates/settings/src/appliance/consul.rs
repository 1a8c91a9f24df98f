//! The tables `[consul]`, `[[service]]` and `[register]`: the source of the endpoint lists, and the registration of this process.

use crate::SettingsError;
use crate::validation::{check_minimum, check_range, invalid_value};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Allowed wait times of a blocking query in milliseconds. Consul itself limits them to 10 minutes.
const WAIT_RANGE_MS: RangeInclusive<u64> = 1..=600_000;
const MAX_FURTHER_AGENTS: usize = 8;
const MAX_SUDDEN_LOSS_RETENTION_MS: u64 = 600_000;
const MIN_TTL_MS: u64 = 1_000;

/// Consul, the source of the endpoint lists.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConsulConfig {
    /// Address of the HTTP API of the first agent.
    pub address: SocketAddr,
    /// Further agents for failover, in order of preference.
    #[serde(rename = "agents", default)]
    pub further_agents: Vec<SocketAddr>,
    /// Name of the service that serves all routes without a service of their own.
    pub service: String,
    /// Consul tag that an instance must have to be in the endpoint list; `None` if no tag is required.
    pub tag: Option<String>,
    /// Filter expression in Consul's syntax, which selects the instances in the endpoint list; `None` for no filter.
    pub filter: Option<String>,
    /// File with the ACL token, relative to the directory of this file. The token is read before each request to Consul.
    pub token_file: Option<PathBuf>,
    /// Datacenter of the service; the agent's own by default.
    pub datacenter: Option<String>,
    /// Namespace of the service; the agent's own by default.
    pub namespace: Option<String>,
    /// Admin partition of the service; the agent's own by default.
    pub partition: Option<String>,
    /// Maximum staleness of stale reads in milliseconds. If absent, all reads are consistent reads from the leader.
    #[serde(rename = "stale_ms")]
    pub max_stale_ms: Option<u64>,
    /// Maximum duration of a blocking query in milliseconds.
    #[serde(default = "default_wait_ms")]
    pub wait_ms: u64,
    /// The worst health status with which a backend is eligible.
    #[serde(rename = "takes_work", default)]
    pub minimum_health: MinimumHealth,
    /// Cache file of the endpoint lists, relative to the directory of this file.
    #[serde(rename = "list_file")]
    pub cache_file: Option<PathBuf>,
    /// Maximum age in seconds of a cached list.
    #[serde(rename = "list_max_age_s", default = "default_cache_max_age_s")]
    pub cache_max_age_s: u64,
    /// Time in milliseconds for which an instance is suppressed after it recovers from its second recent flap. The time doubles
    /// with each further flap.
    #[serde(rename = "flap_hold_ms", default = "default_flap_suppression_ms")]
    pub flap_suppression_ms: u64,
    /// Upper bound of the suppression time in milliseconds.
    #[serde(rename = "flap_longest_ms", default = "default_max_flap_suppression_ms")]
    pub max_flap_suppression_ms: u64,
    /// A response that drops at least this share of the list is a sudden loss.
    #[serde(rename = "sudden_share", default = "default_sudden_loss_share")]
    pub sudden_loss_share: f64,
    /// Time in milliseconds for which instances that still respond are kept in the list after a sudden loss.
    #[serde(rename = "sudden_hold_ms", default = "default_sudden_loss_retention_ms")]
    pub sudden_loss_retention_ms: u64,
}

/// The worst health status with which a backend is eligible.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum MinimumHealth {
    /// All health checks of an eligible backend are passing.
    #[default]
    Passing,
    /// Health checks of an eligible backend are passing or in warning state.
    Warning,
}

fn default_wait_ms() -> u64 {
    10_000
}

fn default_cache_max_age_s() -> u64 {
    86_400
}

fn default_flap_suppression_ms() -> u64 {
    2_000
}

fn default_max_flap_suppression_ms() -> u64 {
    60_000
}

fn default_sudden_loss_share() -> f64 {
    0.5
}

fn default_sudden_loss_retention_ms() -> u64 {
    15_000
}

impl ConsulConfig {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        if self.service.is_empty() {
            return Err(invalid_value("consul.service", "\"\"", "the name of a service"));
        }
        check_range("consul.wait_ms", self.wait_ms, WAIT_RANGE_MS)?;
        self.validate_agents()?;
        if !(self.sudden_loss_share > 0.0 && self.sudden_loss_share <= 1.0) {
            return Err(invalid_value(
                "consul.sudden_share",
                self.sudden_loss_share,
                "above 0 and at most 1",
            ));
        }
        check_minimum("consul.flap_longest_ms", self.max_flap_suppression_ms, self.flap_suppression_ms)?;
        check_range("consul.sudden_hold_ms", self.sudden_loss_retention_ms, 0..=MAX_SUDDEN_LOSS_RETENTION_MS)
    }

    fn validate_agents(&self) -> Result<(), SettingsError> {
        let count = self.further_agents.len();
        if count > MAX_FURTHER_AGENTS {
            let requirement = format!("{MAX_FURTHER_AGENTS} at most");
            return Err(invalid_value("consul.agents", format!("a list of {count}"), requirement));
        }
        if self.further_agents.contains(&self.address) {
            return Err(invalid_value("consul.agents", self.address, "another agent than consul.address"));
        }
        Ok(())
    }
}

/// A service to which routes may refer by name.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name of the service in Consul.
    pub name: String,
    /// Consul tag that an instance must have to be in the endpoint list; `None` if no tag is required.
    pub tag: Option<String>,
    /// Filter expression in Consul's syntax, which selects the instances in the endpoint list; `None` for no filter.
    pub filter: Option<String>,
}

/// The registration of this process with the first Consul agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistrationConfig {
    /// Name of the service under which this process is registered.
    pub name: String,
    /// Id of this instance, which must be unique among the services of the Consul agent.
    pub id: String,
    /// Address at which clients reach this instance; `listen` by default.
    pub address: Option<SocketAddr>,
    /// Time in milliseconds after the last heartbeat at which the TTL check of this instance becomes critical.
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
}

fn default_ttl_ms() -> u64 {
    10_000
}

impl RegistrationConfig {
    /// Validates the table `[register]`. `listen` is the address at which clients connect.
    pub(super) fn validate(&self, listen: SocketAddr) -> Result<(), SettingsError> {
        for (key, value) in [("register.name", &self.name), ("register.id", &self.id)] {
            if value.is_empty() {
                return Err(invalid_value(key, "\"\"", "a name that is not empty"));
            }
        }
        check_minimum("register.ttl_ms", self.ttl_ms, MIN_TTL_MS)?;
        if self.address.unwrap_or(listen).port() == 0 {
            let remedy = "set register.address, or a port in listen";
            return Err(SettingsError::PortZero { key: "register", remedy });
        }
        Ok(())
    }
}
