//! One instance of a service: its address, health status, weight and start time.

use super::wire::{Check, HealthEntry, Service};
use crate::error::InstanceError;
use crate::format::{CAPACITY_KEY, STARTED_KEY};
use crate::stored_time;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use timestamps::UnixTime;

/// Accepted values of the capacity in the service metadata.
const CAPACITY_RANGE: RangeInclusive<f64> = 0.01..=1_000.0;
/// Accepted weights. The upper bound is Consul's largest weight, 65535, times the largest capacity.
const WEIGHT_RANGE: RangeInclusive<f64> = 0.0..=65_535_000.0;

/// Health status of an instance: the worst status among the checks of the service and those of its node. Variants are ordered
/// from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HealthStatus {
    /// All checks are passing, or the instance has no checks.
    Passing,
    /// At least one check is in the warning state, and none is worse.
    Warning,
    /// At least one check is critical or has an unknown status.
    Critical,
    /// An operator has put the service or its node into maintenance mode.
    Maintenance,
    /// The node's own check (`serfHealth`) is critical: the machine is presumed dead.
    NodeDown,
}

impl HealthStatus {
    /// Text of the status in log lines and on the console.
    pub fn name(self) -> &'static str {
        match self {
            Self::Passing => "passing",
            Self::Warning => "warning",
            Self::Critical => "critical",
            Self::Maintenance => "in maintenance",
            Self::NodeDown => "on a node that is down",
        }
    }

    fn of_check(check: &Check) -> Self {
        match check.status.as_str() {
            "passing" => Self::Passing,
            "warning" => Self::Warning,
            // Consul reports maintenance mode and a failed node as critical checks with reserved ids.
            _ if check.id == "_node_maintenance" || check.id.starts_with("_service_maintenance:") => {
                Self::Maintenance
            }
            _ if check.id == "serfHealth" => Self::NodeDown,
            _ => Self::Critical,
        }
    }
}

/// One registered instance of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Node name and service id, separated by a slash; unique within a datacenter.
    pub id: String,
    /// IP address and port of the service. The address is the node's if the service has none.
    pub address: SocketAddr,
    /// The worst status among the checks of the service and its node.
    pub health: HealthStatus,
    /// The weight in `Service.Weights` for the health status, or 1 if absent, times the capacity in `Service.Meta`.
    pub weight: f64,
    /// When the instance started; `None` if `Service.Meta` has no start time.
    #[serde(rename = "started", default, with = "stored_time::optional")]
    pub started_at: Option<UnixTime>,
}

impl Instance {
    pub(super) fn from_entry(id: &str, entry: &HealthEntry) -> Result<Self, InstanceError> {
        let checks = entry.checks.as_deref().unwrap_or_default();
        let health = checks.iter().map(HealthStatus::of_check).max().unwrap_or(HealthStatus::Passing);
        Ok(Self {
            id: id.to_owned(),
            address: address_of(entry)?,
            health,
            weight: weight_of(&entry.service, health)?,
            started_at: started_at_of(&entry.service)?,
        })
    }
}

/// Returns the service's address and port, or the node's address if the service has none. Host names are not resolved.
fn address_of(entry: &HealthEntry) -> Result<SocketAddr, InstanceError> {
    let Service { address, port, .. } = &entry.service;
    let text = if address.is_empty() { &entry.node.address } else { address };
    let ip: IpAddr = text.parse().map_err(|_| InstanceError::Address(text.clone()))?;
    let valid_port = u16::try_from(*port).ok().filter(|&port| port > 0);
    let port = valid_port.ok_or(InstanceError::Port(*port))?;
    Ok(SocketAddr::new(ip, port))
}

fn weight_of(service: &Service, health: HealthStatus) -> Result<f64, InstanceError> {
    let base = match (&service.weights, health) {
        (None, _) => 1.0,
        (Some(weights), HealthStatus::Warning) => weights.warning,
        (Some(weights), _) => weights.passing,
    };
    let weight = base * capacity_of(service)?;
    if WEIGHT_RANGE.contains(&weight) { Ok(weight) } else { Err(InstanceError::Weight(weight)) }
}

fn capacity_of(service: &Service) -> Result<f64, InstanceError> {
    let Some(text) = metadata(service, CAPACITY_KEY) else { return Ok(1.0) };
    let capacity = text.parse().ok().filter(|capacity| CAPACITY_RANGE.contains(capacity));
    capacity.ok_or_else(|| InstanceError::Capacity(text.clone()))
}

fn started_at_of(service: &Service) -> Result<Option<UnixTime>, InstanceError> {
    let Some(text) = metadata(service, STARTED_KEY) else { return Ok(None) };
    let millis = text.parse().map_err(|_| InstanceError::Started(text.clone()))?;
    Ok(Some(UnixTime::from_millis(millis)))
}

fn metadata<'a>(service: &'a Service, key: &str) -> Option<&'a String> {
    service.meta.as_ref()?.get(key)
}
