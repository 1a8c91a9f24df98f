//! Versions of the replicated configuration in a history.

use fault_injection::history::{Observation, Record};
use std::collections::BTreeMap;
use system_tests::{SoleVersion, accepted_version, sole_version};

/// Placeholder for the version of a proposal that was not accepted.
const NOT_ACCEPTED: u64 = 0;

/// Returns the versions that the proposals got, in the order of the proposals; [`NOT_ACCEPTED`] for each that was not accepted.
pub(crate) fn proposed_versions(history: &[Record]) -> Vec<u64> {
    let observations = history.iter().map(|record| &record.observation);
    let proposals =
        observations.filter(|observation| matches!(observation, Observation::VersionProposed { .. }));
    proposals.map(|proposal| accepted_version(proposal).unwrap_or(NOT_ACCEPTED)).collect()
}

/// Returns, by gatekeeper, the last version that the gatekeeper applied as its only one.
pub(crate) fn last_versions(history: &[Record]) -> BTreeMap<&str, u64> {
    let sole = history.iter().filter_map(|record| sole_version(&record.observation));
    sole.map(|SoleVersion { gatekeeper, version }| (gatekeeper, version)).collect()
}
