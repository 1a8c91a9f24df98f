//! A schedule of faults: a file that people read and edit, or what follows from a seed.

mod fault;
mod generator;
mod named;

#[cfg(test)]
mod tests;

pub use fault::{DiskFault, FailureMode, Fault, FaultKind};
pub use named::named_schedules;

use crate::Error;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The most gatekeepers, and the most backends, of a site.
pub const MAX_NODES: usize = 64;

/// The form in which gatekeepers run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// The appliance: HTTP, Consul, gossip and shared periodic jobs.
    #[default]
    Appliance,
    /// The platform: RESP2, discovery and hot restarts, without connections between gatekeepers.
    Platform,
}

/// Options of a site beside its gatekeepers and backends.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct SiteOptions {
    /// Periodic jobs of the appliances.
    #[serde(rename = "duties")]
    pub jobs: usize,
    /// Members that may take over a job from the first one.
    pub standbys: usize,
    /// Consul agents of each gatekeeper.
    #[serde(rename = "agents")]
    pub consul_agents: usize,
    /// Whether tenants send requests throughout.
    pub load: bool,
    /// Whether appliances check the health of backends.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Replicas of the replicated configuration, the first gatekeepers; 0 for none.
    #[serde(rename = "voters")]
    pub replicas: usize,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self { jobs: 4, standbys: 3, consul_agents: 1, load: true, health_checks: true, replicas: 0 }
    }
}

impl SiteOptions {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// A schedule of faults for a site.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Its name.
    pub name: String,
    /// Seeds all that is random in the harness.
    pub seed: u64,
    /// The form of the gatekeepers.
    pub form: Form,
    /// Number of gatekeepers.
    #[serde(rename = "programs")]
    pub gatekeepers: usize,
    /// Number of backends.
    #[serde(rename = "loans")]
    pub backends: usize,
    /// Duration of the load, after which all gatekeepers must agree again.
    pub length_ms: u64,
    /// Options of the site.
    #[serde(default, rename = "has", skip_serializing_if = "SiteOptions::is_default")]
    pub options: SiteOptions,
    /// The faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The text is not a schedule, or not one that can be run.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let schedule: Self = toml::from_str(text)?;
        let (gatekeepers, backends) = (schedule.gatekeepers, schedule.backends);
        if [gatekeepers, backends].iter().any(|count| !(1..=MAX_NODES).contains(count)) {
            return Err(Error::SiteSize { gatekeepers, backends });
        }
        match schedule.faults.iter().find(|fault| fault.end() > Duration::from_millis(schedule.length_ms)) {
            Some(late) => Err(Error::FaultEndsLate { start_ms: late.start.as_millis() as u64 }),
            None => Ok(schedule),
        }
    }

    /// The file's text.
    ///
    /// # Panics
    ///
    /// Never: each field has a form in TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("a schedule has a form in TOML")
    }

    /// When the last fault ends.
    pub fn last_fault_end(&self) -> Duration {
        self.faults.iter().map(Fault::end).max().unwrap_or_default()
    }

    /// The same schedule without the fault at this index.
    #[must_use]
    pub fn without_fault(&self, index: usize) -> Self {
        let mut smaller = self.clone();
        smaller.faults.remove(index);
        smaller
    }
}
