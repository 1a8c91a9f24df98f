//! Parses the broken rules of a soak run from the output of `proof-soak`, and finds the problems that fail the run.

use crate::Problem;
use crate::list::{KnownFailure, SOAK_TARGET};
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// Beginning of the last line of a complete run.
const SUMMARY: &str = "proof soak: ";

/// The results of a soak run, parsed from the output of `proof-soak`.
#[derive(Debug, Default)]
pub struct SoakRun {
    /// The broken rules, as tests of the target `soak`.
    broken_rules: BTreeSet<String>,
    is_complete: bool,
}

impl SoakRun {
    /// Updates the results with one line of the output.
    pub fn apply_line(&mut self, line: &str) {
        self.is_complete |= line.starts_with(SUMMARY);
        if let Some(rule) = broken_rule(line) {
            self.broken_rules.insert(format!("{SOAK_TARGET}::{rule}"));
        }
    }

    /// Returns the problems of this run; an empty list if the run passes. `succeeded` tells whether `proof-soak` exited with
    /// success.
    ///
    /// A listed rule that holds is no problem: the processes of a soak run are not synchronized, so a known fault need not occur in
    /// each run of its seed.
    pub fn problems(&self, succeeded: bool, known_failures: &[KnownFailure]) -> Vec<Problem> {
        let is_known = |test: &str| known_failures.iter().any(|known| known.test == test);
        let unknown = self.broken_rules.iter().filter(|test| !is_known(test));
        let mut problems: Vec<Problem> = unknown.map(|test| Problem::Failed { test: test.clone() }).collect();
        let is_failure_explained = succeeded || !self.broken_rules.is_empty();
        if !self.is_complete || !is_failure_explained {
            problems.push(Problem::Incomplete);
        }
        problems
    }
}

/// Returns the rule of a line with the number of its violations, such as `     3  hard ceiling`.
fn broken_rule(line: &str) -> Option<&str> {
    let (count, rule) = line.trim().split_once("  ")?;
    count.parse::<usize>().is_ok().then_some(rule)
}
