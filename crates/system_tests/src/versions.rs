//! What histories say of versions of the replicated configuration.

use fault_injection::history::Observation;
use serde_json::Value;

/// The version that a proposal has put in force; none for other observations and for proposals that failed.
pub fn accepted_version(observation: &Observation) -> Option<u64> {
    let Observation::VersionProposed { exit_code: 0, output, .. } = observation else { return None };
    output.strip_prefix("version ").and_then(|text| text.split(' ').next()?.parse().ok())
}

/// A gatekeeper that acts on one version alone, by a lease.
pub struct SoleVersion<'a> {
    /// The gatekeeper.
    pub gatekeeper: &'a str,
    /// The version.
    pub version: u64,
}

/// The version on which a gatekeeper acts alone from a log line on; none for other observations.
pub fn sole_version(observation: &Observation) -> Option<SoleVersion<'_>> {
    let Observation::LogLine { process, fields, .. } = observation else { return None };
    let number = |name: &str| fields.get(name).and_then(Value::as_u64);
    let has_lease = fields.get("leased").and_then(Value::as_bool)?;
    let version = number("version")?;
    (number("proposed") == Some(0) && has_lease).then_some(SoleVersion { gatekeeper: process, version })
}
