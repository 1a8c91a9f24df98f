//! The rules, as pure functions over a history. What excuses what is in docs/design/faults.md.

mod ceilings;
mod convergence;
mod draining;
mod fault_spans;
mod processes;
mod requests;

#[cfg(test)]
mod tests;

pub use ceilings::hard_ceilings;
pub use convergence::{Contradiction, contradicting_versions, convergence, longest_contradiction};
pub use draining::draining;
pub use fault_harness::rules;
pub use fault_harness::violation::Violation;
pub use processes::{repeated_runs, resource_use, unexpected_exits};
pub use requests::{final_answers, outcomes};

use crate::history::Record;
use std::collections::BTreeMap;

/// The hard ceiling of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Units a second.
    pub units_per_second: f64,
    /// Units at once.
    pub burst: f64,
    /// Units of the largest request.
    pub largest_request: f64,
}

/// What a gatekeeper may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Resident memory, kB.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
}

/// The figures that the rules go by.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// A request has its final answer within this ...
    pub deadline_ms: u64,
    /// ... and this, for a machine that does other things beside it.
    pub tolerance_ms: u64,
    /// Hard ceilings by tenant.
    pub ceilings: BTreeMap<String, Ceiling>,
    /// Nothing new reaches a backend later than this after a gatekeeper knows that it drains.
    pub drain_ms: u64,
    /// All agree again within this after the last fault ...
    pub convergence_ms: u64,
    /// ... or within this, where the counter restarted without its state: quotas are exact again in its next epoch.
    pub convergence_after_counter_loss_ms: u64,
    /// Two act on versions that contradict each other for no longer than this.
    pub contradiction_ms: u64,
    /// What each gatekeeper may use.
    pub resources: ResourceLimits,
}

/// A rule: what breaks it in a history.
type Rule = fn(&[Record], &Bounds) -> Vec<Violation>;

const RULES: [Rule; 8] = [
    final_answers,
    hard_ceilings,
    draining,
    repeated_runs,
    unexpected_exits,
    resource_use,
    convergence,
    contradicting_versions,
];

/// All that is broken in a history.
pub fn check(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    RULES.iter().flat_map(|rule| rule(history, bounds)).collect()
}
