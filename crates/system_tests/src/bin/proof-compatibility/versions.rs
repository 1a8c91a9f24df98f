//! Versions of the replicated configuration in a history.

use fault_injection::history::{Observation, Record};
use std::collections::BTreeMap;
use system_tests::{SoleVersion, accepted_version, sole_version};

/// Shown for a proposal that was not accepted.
const NOT_ACCEPTED: u64 = 0;

/// Returns the version of each proposal in their order, or 0 if it was not accepted.
pub(crate) fn proposed_versions(history: &[Record]) -> Vec<u64> {
    let observations = history.iter().map(|record| &record.observation);
    let proposals =
        observations.filter(|observation| matches!(observation, Observation::VersionProposed { .. }));
    proposals.map(|proposal| accepted_version(proposal).unwrap_or(NOT_ACCEPTED)).collect()
}

/// Returns the last version on which each gatekeeper acts alone.
pub(crate) fn last_versions(history: &[Record]) -> BTreeMap<&str, u64> {
    let sole = history.iter().filter_map(|record| sole_version(&record.observation));
    sole.map(|SoleVersion { gatekeeper, version }| (gatekeeper, version)).collect()
}
