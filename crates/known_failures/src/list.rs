//! The list of tests that are known to fail.

use std::fmt;

#[cfg(test)]
mod tests;

/// The most tests that may be known to fail.
pub const MAX_KNOWN_FAILURES: usize = 3;

/// A list that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// A line has not three parts.
    #[error("not of the form TARGET::TEST | CAUSE | ISSUE: {line}")]
    Form {
        /// The line.
        line: String,
    },
    /// A part of a line says nothing, or the test is named without its target.
    #[error("no target and test, no cause or no issue: {line}")]
    MissingPart {
        /// The line.
        line: String,
    },
    /// A test stands twice.
    #[error("listed twice: {test}")]
    Repeated {
        /// The test.
        test: String,
    },
    /// There are too many lines.
    #[error("{count} tests are listed, {MAX_KNOWN_FAILURES} at most may be")]
    TooMany {
        /// How many.
        count: usize,
    },
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownFailure {
    /// The test: its target's name and its own, such as `endings::at_the_end`.
    pub test: String,
    /// Why it fails.
    pub cause: String,
    /// The issue that will mend it.
    pub issue: String,
}

impl KnownFailure {
    fn parse(line: &str) -> Result<Self, ListError> {
        let parts: Vec<&str> = line.split('|').map(str::trim).collect();
        let [test, cause, issue] = parts[..] else {
            return Err(ListError::Form { line: line.to_owned() });
        };
        if !test.contains("::") || cause.is_empty() || issue.is_empty() {
            return Err(ListError::MissingPart { line: line.to_owned() });
        }
        Ok(Self { test: test.to_owned(), cause: cause.to_owned(), issue: issue.to_owned() })
    }
}

impl fmt::Display for KnownFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "known to fail: {}: {} ({})", self.test, self.cause, self.issue)
    }
}

/// Reads a list: `TARGET::TEST | CAUSE | ISSUE` on each line that is not blank.
///
/// # Errors
///
/// A line has another form or stands twice, or there are too many.
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
