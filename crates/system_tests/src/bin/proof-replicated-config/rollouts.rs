//! Roll-outs of versions.

use fault_injection::history::Record;
use std::collections::BTreeMap;
use std::time::Duration;
use system_tests::{accepted_version, sole_version};

/// The roll-out of a version, in microseconds of the history.
struct Rollout {
    accepted_us: u64,
    /// When the last gatekeeper that was notified of the version in time acted on it alone.
    complete_us: u64,
}

/// Returns how long each roll-out took from the acceptance of its version.
pub(crate) fn rollout_times(history: &[Record]) -> impl Iterator<Item = Duration> {
    let rollouts = rollouts_by_version(history).into_values();
    rollouts.map(|rollout| Duration::from_micros(rollout.complete_us - rollout.accepted_us))
}

fn rollouts_by_version(history: &[Record]) -> BTreeMap<u64, Rollout> {
    let mut rollouts: BTreeMap<u64, Rollout> = BTreeMap::new();
    for Record { at_us, observation } in history {
        if let Some(version) = accepted_version(observation) {
            rollouts.entry(version).or_insert(Rollout { accepted_us: *at_us, complete_us: *at_us });
        }
        let sole = sole_version(observation);
        if let Some(rollout) = sole.and_then(|sole| rollouts.get_mut(&sole.version)) {
            rollout.complete_us = *at_us;
        }
    }
    rollouts
}
