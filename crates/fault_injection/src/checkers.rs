//! Checkers of the rules, as pure functions over a history. docs/design/faults.md lists which fault permits which deviation.

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
    /// Sustained rate in units per second.
    pub units_per_second: f64,
    /// Maximum number of units at once.
    pub burst: f64,
    /// Units of the largest request.
    pub largest_request: f64,
}

/// Maximum resources of a gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Resident memory in kB.
    pub memory_kb: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
    /// Number of threads of the process.
    pub threads: u64,
}

/// The limits that the rules enforce.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Time in ms within which a request must have its final answer.
    pub deadline_ms: u64,
    /// Additional time in ms that the rules allow for delays of a busy machine.
    pub tolerance_ms: u64,
    /// Hard ceilings by tenant name; other tenants have none.
    pub ceilings: BTreeMap<String, Ceiling>,
    /// Maximum time in ms for which attempts still arrive after a gatekeeper learns that the backend drains.
    pub drain_ms: u64,
    /// Time in ms after the last fault within which all gatekeepers must agree again.
    pub convergence_ms: u64,
    /// Like `convergence_ms`, if the counter restarted with empty state: quotas are exact again only in its next epoch.
    pub convergence_after_counter_loss_ms: u64,
    /// Maximum time in ms for which two gatekeepers may act on contradicting versions of the configuration.
    pub contradiction_ms: u64,
    /// Maximum resources of each gatekeeper.
    pub resources: ResourceLimits,
}

/// Checks one rule: returns its violations in a history.
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

/// Checks all rules and returns their violations.
pub fn check(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    RULES.iter().flat_map(|rule| rule(history, bounds)).collect()
}
