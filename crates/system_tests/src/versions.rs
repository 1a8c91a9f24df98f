//! Versions of the replicated configuration in a history.

use fault_injection::history::Observation;
use serde_json::Value;

/// The value of the field `proposed` of a log event if no other version is being rolled out.
const NO_PROPOSED_VERSION: u64 = 0;

/// Returns the version that the observation says was accepted, or `None` if it is not an accepted proposal.
pub fn accepted_version(observation: &Observation) -> Option<u64> {
    let Observation::VersionProposed { exit_code: 0, output, .. } = observation else { return None };
    let after_prefix = output.strip_prefix("version ")?;
    after_prefix.split(' ').next()?.parse().ok()
}

/// A gatekeeper that holds a lease on one version alone and acts on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoleVersion<'a> {
    /// The name of the gatekeeper.
    pub gatekeeper: &'a str,
    /// The version.
    pub version: u64,
}

/// Returns the version on which a gatekeeper acts alone from this observation on, or `None` if the observation is not the log event
/// of `config_node` that tells this.
pub fn sole_version(observation: &Observation) -> Option<SoleVersion<'_>> {
    let Observation::LogLine { process, fields, .. } = observation else { return None };
    let number = |name: &str| fields.get(name).and_then(Value::as_u64);
    let has_lease = fields.get("leased").and_then(Value::as_bool)?;
    let version = number("version")?;
    let acts_alone = has_lease && number("proposed") == Some(NO_PROPOSED_VERSION);
    acts_alone.then_some(SoleVersion { gatekeeper: process, version })
}
