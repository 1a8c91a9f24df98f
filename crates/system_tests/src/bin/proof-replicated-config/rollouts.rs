//! Durations of roll-outs of configuration versions.

use fault_injection::history::Record;
use std::collections::BTreeMap;
use std::time::Duration;
use system_tests::{accepted_version, sole_version};

/// The start and end of the roll-out of a version, in microseconds of the history.
struct Rollout {
    accepted_us: u64,
    /// When the last gatekeeper that got the version in time applied it as its only version. Equals `accepted_us` if none did.
    complete_us: u64,
}

/// Returns the time from the acceptance of each version to the end of its roll-out.
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
