//! What the test runner has written, and what speaks against the run.

use crate::list::KnownFailure;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Something that speaks against a run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// A test failed that is not listed.
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
    /// Several tests have the name of a listed one.
    #[error("{test} is the name of several tests")]
    Ambiguous {
        /// The test.
        test: String,
    },
    /// A target was killed, or could not be built.
    #[error("the tests did not run to their end")]
    Incomplete,
    /// No test ran at all.
    #[error("no test ran")]
    NoTests,
}

/// How often a test ended in which way.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    passed: u32,
    failed: u32,
}

/// How tests ended, by what the test runner wrote.
#[derive(Debug, Default)]
pub struct TestRun {
    /// The target whose tests are running.
    target: String,
    tests: BTreeMap<String, Results>,
    /// Targets that said that they had failed.
    failed_targets: usize,
    /// Failed targets by the runner's own count.
    counted_targets: usize,
}

impl TestRun {
    /// Applies a line that the runner wrote.
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

    /// What speaks against this run, given how the runner ended and which tests are known to fail; nothing where it is good.
    pub fn problems(&self, succeeded: bool, known_failures: &[KnownFailure]) -> Vec<Problem> {
        let is_known = |test: &str| known_failures.iter().any(|known| known.test == test);
        let failed = self.tests.iter().filter(|(test, results)| results.failed > 0 && !is_known(test));
        let mut problems: Vec<Problem> =
            failed.map(|(test, _)| Problem::Failed { test: test.clone() }).collect();
        problems.extend(known_failures.iter().filter_map(|known| self.problem_of_known(&known.test)));
        // A target that was killed, or could not be built, names no test.
        let is_complete = self.counted_targets > 0 && self.counted_targets == self.failed_targets;
        if !succeeded && !is_complete {
            problems.push(Problem::Incomplete);
        }
        if self.tests.is_empty() {
            problems.push(Problem::NoTests);
        }
        problems
    }

    /// Why a listed test may not stand; none where it ran once and failed.
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

/// The name of a target by its file, such as `endings-cf30f7086c945f9e)`.
fn target_name(binary: &str) -> &str {
    let binary_without_hash = binary.trim_end_matches(')').rsplit_once('-');
    binary_without_hash.map_or(binary, |(name, _)| name)
}
