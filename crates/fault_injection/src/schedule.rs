//! Schedules of faults, which are read from TOML files or generated from a seed.

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

/// Maximum number of gatekeepers of a site, and of its backends.
pub const MAX_NODES: usize = 64;

/// The deployment form of the gatekeepers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// The appliance: HTTP, Consul, gossip and shared periodic jobs.
    #[default]
    Appliance,
    /// The platform: RESP2, discovery and hot restarts, without connections between gatekeepers.
    Platform,
}

/// Options of a site other than the number of gatekeepers and backends.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct SiteOptions {
    /// Number of periodic jobs that the appliances share.
    #[serde(rename = "duties")]
    pub jobs: usize,
    /// Number of standby members for each job (the setting `cluster.standbys`).
    pub standbys: usize,
    /// Number of Consul agents of each gatekeeper; 0 counts as 1.
    #[serde(rename = "agents")]
    pub consul_agents: usize,
    /// Whether clients send requests during the run.
    pub load: bool,
    /// Whether appliances check the health of backends.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Number of replicas of the replicated configuration, which the first gatekeepers run; 0 disables it.
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
    /// Name of the schedule in reports; `seed N` for a generated schedule.
    pub name: String,
    /// Seed of the random numbers of links and clients.
    pub seed: u64,
    /// Deployment form of all gatekeepers.
    pub form: Form,
    /// Number of gatekeepers, from 1 to [`MAX_NODES`].
    #[serde(rename = "programs")]
    pub gatekeepers: usize,
    /// Number of backends, from 1 to [`MAX_NODES`].
    #[serde(rename = "loans")]
    pub backends: usize,
    /// Minimum duration of the load in ms. Every fault ends within this time.
    pub length_ms: u64,
    /// Options of the site; the defaults if the file has none.
    #[serde(default, rename = "has", skip_serializing_if = "SiteOptions::is_default")]
    pub options: SiteOptions,
    /// The faults to inject, which may overlap.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Parses a schedule in TOML and checks its limits.
    ///
    /// # Errors
    ///
    /// The text is not a schedule, the site is too small or too large, or a fault ends after `length_ms`.
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

    /// The schedule in TOML, as [`Schedule::parse`] reads it.
    ///
    /// # Panics
    ///
    /// Never: every field can be written as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("every field of a schedule can be written as TOML")
    }

    /// Time from the start of the schedule to the end of the last fault; zero without faults.
    pub fn last_fault_end(&self) -> Duration {
        self.faults.iter().map(Fault::end).max().unwrap_or_default()
    }

    /// A copy of the schedule without the fault at this index.
    #[must_use]
    pub fn without_fault(&self, index: usize) -> Self {
        let mut reduced = self.clone();
        reduced.faults.remove(index);
        reduced
    }
}
