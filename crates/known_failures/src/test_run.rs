//! Parses the results of a test run from the output of `cargo test`, and finds the problems that fail the run.

use crate::list::KnownFailure;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A reason why a run fails.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// A test fails without being on the list.
    #[error("{test} failed")]
    Failed {
        /// The failed test, such as `shutdown::drains_connections`.
        test: String,
    },
    /// The list names a test that no longer exists, or the run did not include it.
    #[error("{test} is listed and did not run")]
    NotRun {
        /// The listed test, such as `shutdown::drains_connections`.
        test: String,
    },
    /// The fault of a listed test is fixed, or the list does not say that the test fails only sometimes.
    #[error("{test} is listed and passes: take it off")]
    Passes {
        /// The listed test, such as `shutdown::drains_connections`.
        test: String,
    },
    /// Several tests have the name of a listed one, or it ran more than once.
    #[error("{test} is the name of several tests")]
    Ambiguous {
        /// The listed test, such as `shutdown::drains_connections`.
        test: String,
    },
    /// A target was killed or could not be built, so that results are missing.
    #[error("the tests did not run to their end")]
    Incomplete,
    /// The output contains no line about a test.
    #[error("no test ran")]
    NoTests,
}

/// The number of times that a test passed and failed.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    passed: u32,
    failed: u32,
}

/// The results of a test run, parsed from the output of `cargo test`.
#[derive(Debug, Default)]
pub struct TestRun {
    /// The target whose tests are running.
    target: String,
    /// Results by test, with its target (`TARGET::TEST`).
    tests: BTreeMap<String, Results>,
    /// Number of targets that reported failed tests.
    failed_targets: usize,
    /// Number of failed targets that cargo itself reported at the end (`error: 2 targets failed`); 0 without such a line.
    failed_targets_by_cargo: usize,
}

impl TestRun {
    /// Updates the results with one line of the output.
    pub fn apply_line(&mut self, line: &str) {
        let line = line.trim();
        if let Some(binary) = line.strip_prefix("Running ").and_then(|rest| rest.rsplit('/').next()) {
            self.target = target_name(binary).to_owned();
        } else if let Some(package) = line.strip_prefix("Doc-tests ") {
            self.target = format!("{package} (doc)");
        } else if line.starts_with("test result: FAILED") {
            self.failed_targets += 1;
        } else if let Some((name, result)) =
            line.strip_prefix("test ").and_then(|rest| rest.split_once(" ... "))
        {
            self.add_result(name, result);
        } else if let Some((count, _)) =
            line.strip_prefix("error: ").and_then(|rest| rest.split_once(" target"))
        {
            self.failed_targets_by_cargo = count.parse().unwrap_or(self.failed_targets_by_cargo);
        }
    }

    fn add_result(&mut self, name: &str, result: &str) {
        let results = self.tests.entry(format!("{}::{name}", self.target)).or_default();
        match result.split(' ').next() {
            Some("ok") => results.passed += 1,
            Some("FAILED") => results.failed += 1,
            _ => {}
        }
    }

    /// Returns the problems of this run; an empty list if the run passes. `succeeded` tells whether `cargo test` exited with
    /// success.
    pub fn problems(&self, succeeded: bool, known_failures: &[KnownFailure]) -> Vec<Problem> {
        let is_known = |test: &str| known_failures.iter().any(|known| known.test == test);
        let failed = self.tests.iter().filter(|(test, results)| results.failed > 0 && !is_known(test));
        let mut problems: Vec<Problem> =
            failed.map(|(test, _)| Problem::Failed { test: test.clone() }).collect();
        problems.extend(known_failures.iter().filter_map(|known| self.problem_of_known(known)));
        // A target that was killed or could not be built reports no failed test, but cargo counts it as failed.
        let is_complete =
            self.failed_targets_by_cargo > 0 && self.failed_targets_by_cargo == self.failed_targets;
        if !succeeded && !is_complete {
            problems.push(Problem::Incomplete);
        }
        if self.tests.is_empty() {
            problems.push(Problem::NoTests);
        }
        problems
    }

    /// Returns the problem of a listed test; `None` if it ran once and failed, or passed and is known to fail only sometimes.
    fn problem_of_known(&self, known: &KnownFailure) -> Option<Problem> {
        let Results { passed, failed } = self.tests.get(&known.test).copied().unwrap_or_default();
        let test = known.test.clone();
        match (passed, failed) {
            (0, 0) => Some(Problem::NotRun { test }),
            (0, 1) => None,
            (1, 0) if known.is_intermittent() => None,
            (_, 0) => Some(Problem::Passes { test }),
            _ => Some(Problem::Ambiguous { test }),
        }
    }
}

/// Returns the name of a target, such as `shutdown`, from its file name with hash and the closing parenthesis that follows in the
/// output, such as `shutdown-cf30f7086c945f9e)`.
fn target_name(binary: &str) -> &str {
    let binary_without_hash = binary.trim_end_matches(')').rsplit_once('-');
    binary_without_hash.map_or(binary, |(name, _)| name)
}
