//! The list of tests that are known to fail.

use std::fmt;

#[cfg(test)]
mod tests;

/// Maximum number of tests that may be known to fail.
pub const MAX_KNOWN_FAILURES: usize = 3;

/// Why a list is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// A line does not have exactly four parts between bars.
    #[error("a line is not of the form TARGET::TEST | COMMAND AND SEED | SEEN | ISSUE: {line}")]
    Form {
        /// The line as it stands in the list.
        line: String,
    },
    /// A part of a line is empty, or the test is named without its target.
    #[error("a line lacks the target and test, the command, what was seen or the issue: {line}")]
    MissingPart {
        /// The line as it stands in the list.
        line: String,
    },
    /// Two lines name the same test of the same target.
    #[error("{test} is listed twice")]
    Repeated {
        /// The repeated test, such as `shutdown::drains_connections`.
        test: String,
    },
    /// A listed fault must be mended before another test may be added.
    #[error("{count} tests are listed, more than the maximum of {MAX_KNOWN_FAILURES}")]
    TooMany {
        /// Number of listed tests.
        count: usize,
    },
}

/// Target of the rules of the soak test in the list, such as `soak::hard ceiling`.
pub(crate) const SOAK_TARGET: &str = "soak";

/// A test that is known to fail, or a rule of the soak test that is known to be broken: a line of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownFailure {
    /// The test with its target, such as `shutdown::drains_connections`.
    pub test: String,
    /// The command that shows the failure, with its seed.
    pub command: String,
    /// What was seen: the failure, and its cause as far as it is known.
    pub seen: String,
    /// The open issue under which the fault will be fixed.
    pub issue: String,
}

impl KnownFailure {
    fn parse(line: &str) -> Result<Self, ListError> {
        let parts: Vec<&str> = line.split('|').map(str::trim).collect();
        let [test, command, seen, issue] = parts[..] else {
            return Err(ListError::Form { line: line.to_owned() });
        };
        if !test.contains("::") || [command, seen, issue].contains(&"") {
            return Err(ListError::MissingPart { line: line.to_owned() });
        }
        let [test, command, seen, issue] = [test, command, seen, issue].map(str::to_owned);
        Ok(Self { test, command, seen, issue })
    }

    /// Whether the test fails only sometimes: what was seen begins with `N of M runs`, and N is below M. Such a test may pass.
    pub fn is_intermittent(&self) -> bool {
        let counts = self.seen.split_once(" runs").and_then(|(counts, _)| counts.split_once(" of "));
        let parse = |count: &str| count.parse::<u32>().ok();
        counts.is_some_and(|(failed, runs)| parse(failed).zip(parse(runs)).is_some_and(|(n, m)| n < m))
    }

    /// Whether this is a rule of the soak test, which `cargo test` does not run.
    pub fn is_of_soak(&self) -> bool {
        self.test.split_once("::").is_some_and(|(target, _)| target == SOAK_TARGET)
    }
}

impl fmt::Display for KnownFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { test, command, seen, issue } = self;
        write!(f, "known to fail: {test}: {seen} ({issue}; {command})")
    }
}

/// Parses a list. Each line that is not blank has the form `TARGET::TEST | COMMAND AND SEED | SEEN | ISSUE`. A rule
/// of the soak test has the target `soak`.
///
/// # Errors
///
/// Fails if a line has another form, a test is listed twice, or more than [`MAX_KNOWN_FAILURES`] tests are listed.
pub fn parse_list(text: &str) -> Result<Vec<KnownFailure>, ListError> {
    let mut list: Vec<KnownFailure> = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let known = KnownFailure::parse(line)?;
        if list.iter().any(|other| other.test == known.test) {
            return Err(ListError::Repeated { test: known.test });
        }
        list.push(known);
    }
    if list.len() > MAX_KNOWN_FAILURES {
        return Err(ListError::TooMany { count: list.len() });
    }
    Ok(list)
}
