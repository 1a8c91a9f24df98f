//! The configuration file of a gatekeeper on the platform, `config.json`.

mod file;
mod policy_settings;

use crate::json::check_nesting;
use crate::validation::{check_unique, invalid_value};
use crate::{EndpointList, SettingsError};
use std::net::SocketAddr;

/// Maximum of `limits.memory_mb`, in MiB.
const MAX_MEMORY_MB: usize = 1 << 20;

/// Configuration of a gatekeeper on the platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Name of the gatekeeper on the platform.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of the listener for operators; `None` if the gatekeeper has no such listener.
    pub admin: Option<SocketAddr>,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub max_sockets: usize,
    /// Maximum memory of the process in bytes.
    pub max_memory_bytes: usize,
    /// Address of the quota counter; `None` if the gatekeeper uses no counter.
    pub counter: Option<SocketAddr>,
    /// The endpoint list in the file, to be used until the discovery agent sends one; empty if the file has none.
    pub cached_list: EndpointList,
    /// Settings of the policy that follow from the file.
    pub settings: policy::Settings,
    /// Maximum number of units of one request; `None` if the file sets no maximum.
    pub max_units: Option<f64>,
    /// Time in microseconds for which backends keep idle connections open.
    pub keepalive: policy::Micros,
    /// Names of the classes, by number.
    pub classes: Vec<String>,
    /// Names of the plans, by number.
    pub plans: Vec<String>,
    /// Names of the zones (`localities`), by number.
    pub zones: Vec<String>,
    /// Names of the machine types (`kinds`), by number.
    pub machine_types: Vec<String>,
}

impl PlatformConfig {
    /// Parses and validates the file. The parser overwrites the bytes.
    ///
    /// # Errors
    ///
    /// Returns an error with the missing key or the invalid value.
    pub fn parse(json: &mut [u8]) -> Result<Self, SettingsError> {
        check_nesting(json)?;
        let file: file::File = simd_json::serde::from_slice(json)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| invalid_value("seed", format!("{:?}", file.seed), "a hexadecimal number"))?;
        let counter = file.counter.as_deref().map(|text| parse_address("counter", text)).transpose()?;
        let admin = file.operator.as_deref().map(|text| parse_address("operator", text)).transpose()?;
        let settings = file.settings;
        check_unique("class", settings.classes.iter().map(|class| class.name.as_str()))?;
        check_unique("contract", settings.contracts.iter().map(|plan| plan.name.as_str()))?;
        Ok(Self {
            listen: parse_address("listen", &file.listen)?,
            discovery: parse_address("discovery", &file.discovery)?,
            admin,
            name: file.name,
            seed,
            max_sockets: file.limits.sockets,
            max_memory_bytes: file.limits.memory_mb.clamp(1, MAX_MEMORY_MB) << 20,
            counter,
            cached_list: file.known,
            max_units: settings.specifics.largest,
            keepalive: settings.bounds.keepalive_us,
            classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
            plans: settings.contracts.iter().map(|plan| plan.name.clone()).collect(),
            zones: settings.localities.clone(),
            machine_types: settings.kinds.clone(),
            settings: settings.into_policy(counter.is_some())?,
        })
    }
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| invalid_value(key, format!("{text:?}"), "an IP address and port"))
}
