//! The tables `[consul]`, `[[service]]` and `[register]`: where the endpoint lists come from, and the registration of this
//! process.

use crate::SettingsError;
use crate::validation::{check_minimum, check_range, invalid};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// ms; how long a blocking query may stay open, by Consul's own limit.
const WAITS_MS: std::ops::RangeInclusive<u64> = 1..=600_000;
const MAX_FURTHER_AGENTS: usize = 8;
/// ms
const MAX_SUDDEN_LOSS_GRACE_MS: u64 = 600_000;
/// ms
const MIN_TTL_MS: u64 = 1_000;

/// Where the endpoint lists come from.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConsulConfig {
    /// The agent's HTTP API.
    pub address: SocketAddr,
    /// Further agents, used in this order while the first does not answer.
    #[serde(rename = "agents", default)]
    pub further_agents: Vec<SocketAddr>,
    /// The service whose instances are the backends of routes that name none.
    pub service: String,
    /// Only instances with this tag.
    pub tag: Option<String>,
    /// A filter expression of Consul.
    pub filter: Option<String>,
    /// The file with the ACL token, relative to this file's directory; read again when it changes.
    pub token_file: Option<PathBuf>,
    /// Datacentre, if not the agent's own.
    pub datacenter: Option<String>,
    /// Namespace.
    pub namespace: Option<String>,
    /// Partition.
    pub partition: Option<String>,
    /// Responses may come from a server that has heard from its leader within this many milliseconds; without it the leader is
    /// asked.
    #[serde(rename = "stale_ms")]
    pub max_stale_ms: Option<u64>,
    /// How long a blocking query may stay open, in milliseconds.
    #[serde(default = "default_wait_ms")]
    pub wait_ms: u64,
    /// The worst health with which a backend gets requests.
    #[serde(rename = "takes_work", default)]
    pub minimum_health: MinimumHealth,
    /// The file that caches the last list, relative to this file's directory.
    #[serde(rename = "list_file")]
    pub cache_file: Option<PathBuf>,
    /// An older cached list is not used, in seconds.
    #[serde(rename = "list_max_age_s", default = "default_cache_max_age_s")]
    pub cache_max_age_s: u64,
    /// An instance that returns for the second time is held back for this many milliseconds, each further time for twice as
    /// long ...
    #[serde(rename = "flap_hold_ms", default = "default_flap_damping_ms")]
    pub flap_damping_ms: u64,
    /// ... up to this.
    #[serde(rename = "flap_longest_ms", default = "default_max_flap_damping_ms")]
    pub max_flap_damping_ms: u64,
    /// Where this share of the list vanishes in one response, the loss is held back ...
    #[serde(rename = "sudden_share", default = "default_sudden_loss_share")]
    pub sudden_loss_share: f64,
    /// ... for this many milliseconds, for those that still respond.
    #[serde(rename = "sudden_hold_ms", default = "default_sudden_loss_grace_ms")]
    pub sudden_loss_grace_ms: u64,
}

/// The worst health with which a backend gets requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum MinimumHealth {
    /// All checks pass.
    #[default]
    Passing,
    /// Checks may warn.
    Warning,
}

fn default_wait_ms() -> u64 {
    10_000
}

fn default_cache_max_age_s() -> u64 {
    86_400
}

fn default_flap_damping_ms() -> u64 {
    2_000
}

fn default_max_flap_damping_ms() -> u64 {
    60_000
}

fn default_sudden_loss_share() -> f64 {
    0.5
}

fn default_sudden_loss_grace_ms() -> u64 {
    15_000
}

impl ConsulConfig {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        if self.service.is_empty() {
            return Err(invalid("consul.service", "\"\"", "the name of a service"));
        }
        check_range("consul.wait_ms", self.wait_ms, WAITS_MS)?;
        self.validate_agents()?;
        if !(self.sudden_loss_share > 0.0 && self.sudden_loss_share <= 1.0) {
            return Err(invalid("consul.sudden_share", self.sudden_loss_share, "above 0 and at most 1"));
        }
        check_minimum("consul.flap_longest_ms", self.max_flap_damping_ms, self.flap_damping_ms)?;
        check_range("consul.sudden_hold_ms", self.sudden_loss_grace_ms, 0..=MAX_SUDDEN_LOSS_GRACE_MS)
    }

    fn validate_agents(&self) -> Result<(), SettingsError> {
        let count = self.further_agents.len();
        if count > MAX_FURTHER_AGENTS {
            let requirement = format!("{MAX_FURTHER_AGENTS} at most");
            return Err(invalid("consul.agents", format!("a list of {count}"), requirement));
        }
        if self.further_agents.contains(&self.address) {
            return Err(invalid("consul.agents", self.address, "another agent than consul.address"));
        }
        Ok(())
    }
}

/// A further service, for routes that name it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Its name.
    pub name: String,
    /// Only instances with this tag.
    pub tag: Option<String>,
    /// A filter expression of Consul.
    pub filter: Option<String>,
}

/// The registration of this process with the first agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistrationConfig {
    /// The service's name.
    pub name: String,
    /// The instance's id, which no other instance has.
    pub id: String,
    /// Where clients reach it, if not at `listen`.
    pub address: Option<SocketAddr>,
    /// Its check fails when it is not renewed for this many milliseconds.
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
}

fn default_ttl_ms() -> u64 {
    10_000
}

impl RegistrationConfig {
    /// `listen`: where clients connect.
    pub(super) fn validate(&self, listen: SocketAddr) -> Result<(), SettingsError> {
        for (key, value) in [("register.name", &self.name), ("register.id", &self.id)] {
            if value.is_empty() {
                return Err(invalid(key, "\"\"", "a name"));
            }
        }
        check_minimum("register.ttl_ms", self.ttl_ms, MIN_TTL_MS)?;
        if self.address.unwrap_or(listen).port() == 0 {
            let remedy = "name register.address, or a port in listen";
            return Err(SettingsError::PortUnknown { key: "register", remedy });
        }
        Ok(())
    }
}
