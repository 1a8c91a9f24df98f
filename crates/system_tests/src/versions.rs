//! Versions of the replicated configuration in a history.

use fault_injection::history::Observation;
use serde_json::Value;

/// Value of the field `proposed` of a log event while no version is being rolled out.
const NO_PROPOSED_VERSION: u64 = 0;

/// Returns the version that was accepted, or `None` if the observation is not an accepted proposal.
pub fn accepted_version(observation: &Observation) -> Option<u64> {
    let Observation::VersionProposed { exit_code: 0, output, .. } = observation else { return None };
    let after_prefix = output.strip_prefix("version ")?;
    after_prefix.split(' ').next()?.parse().ok()
}

/// A gatekeeper that applies exactly one version of the configuration: it holds a lease on the version, and no other version is
/// being rolled out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoleVersion<'a> {
    /// The name of the gatekeeper, such as `m0`.
    pub gatekeeper: &'a str,
    /// The version that the gatekeeper applies.
    pub version: u64,
}

/// Returns the gatekeeper and its version if the observation is the log event of `config_node` with which a gatekeeper reports
/// that it applies exactly one version from now on, or `None` otherwise.
pub fn sole_version(observation: &Observation) -> Option<SoleVersion<'_>> {
    let Observation::LogLine { process, fields, .. } = observation else { return None };
    let number = |name: &str| fields.get(name).and_then(Value::as_u64);
    let has_lease = fields.get("leased").and_then(Value::as_bool)?;
    let version = number("version")?;
    let is_sole = has_lease && number("proposed") == Some(NO_PROPOSED_VERSION);
    is_sole.then_some(SoleVersion { gatekeeper: process, version })
}
