//! The results of a test run, from the output of the test runner, and the problems that fail it.

use crate::list::KnownFailure;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A reason to fail a run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// A test that is not listed failed.
    #[error("{test} failed")]
    Failed {
        /// The test.
        test: String,
    },
    /// A listed test did not run.
    #[error("{test} is listed and did not run")]
    NotRun {
        /// The test.
        test: String,
    },
    /// A listed test passes.
    #[error("{test} is listed and passes: take it off")]
    Passes {
        /// The test.
        test: String,
    },
    /// Several tests have the name of a listed one, or it ran more than once.
    #[error("{test} is the name of several tests")]
    Ambiguous {
        /// The test.
        test: String,
    },
    /// A target was killed, or could not be built.
    #[error("the tests did not run to their end")]
    Incomplete,
    /// No test ran.
    #[error("no test ran")]
    NoTests,
}

/// How often a test passed and failed.
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
    tests: BTreeMap<String, Results>,
    /// Targets that reported failed tests.
    failed_targets: usize,
    /// Failed targets by cargo's own count.
    counted_targets: usize,
}

impl TestRun {
    /// Applies one line of the output.
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
            self.counted_targets = count.parse().unwrap_or(self.counted_targets);
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

    /// Returns the problems of this run; none where it is good. `succeeded` tells that the runner exited with success.
    pub fn problems(&self, succeeded: bool, known_failures: &[KnownFailure]) -> Vec<Problem> {
        let is_known = |test: &str| known_failures.iter().any(|known| known.test == test);
        let failed = self.tests.iter().filter(|(test, results)| results.failed > 0 && !is_known(test));
        let mut problems: Vec<Problem> =
            failed.map(|(test, _)| Problem::Failed { test: test.clone() }).collect();
        problems.extend(known_failures.iter().filter_map(|known| self.problem_of_known(&known.test)));
        // A target that was killed or could not be built reports no failed test, but cargo counts it.
        let is_complete = self.counted_targets > 0 && self.counted_targets == self.failed_targets;
        if !succeeded && !is_complete {
            problems.push(Problem::Incomplete);
        }
        if self.tests.is_empty() {
            problems.push(Problem::NoTests);
        }
        problems
    }

    /// Returns the problem of a listed test; `None` where it ran once and failed.
    fn problem_of_known(&self, test: &str) -> Option<Problem> {
        let Results { passed, failed } = self.tests.get(test).copied().unwrap_or_default();
        let test = test.to_owned();
        match (passed, failed) {
            (0, 0) => Some(Problem::NotRun { test }),
            (0, 1) => None,
            (_, 0) => Some(Problem::Passes { test }),
            _ => Some(Problem::Ambiguous { test }),
        }
    }
}

/// Returns a target's name from its file name and the bracket behind it, such as `shutdown-cf30f7086c945f9e)`.
fn target_name(binary: &str) -> &str {
    let binary_without_hash = binary.trim_end_matches(')').rsplit_once('-');
    binary_without_hash.map_or(binary, |(name, _)| name)
}
