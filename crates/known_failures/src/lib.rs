//! The verdict on a test run in which some tests are known to fail.
//!
//! A test that fails for a real fault which cannot be mended yet may stand, if a line of `KNOWN-RED.txt` names it with its cause
//! and its issue. The list must stay short and true, or it would hide what breaks: more than [`MOST`] lines, a test that passes,
//! one that does not exist, and any other failure fail the run.

use std::collections::BTreeMap;
use std::fmt;

/// The most tests that may be known to fail.
pub const MOST: usize = 3;

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// The test: its target's name and its own, such as `endings::at_the_end`.
    pub test: String,
    /// Why it fails, and the issue that will mend it.
    pub why: String,
}

/// Reads the list: `TARGET::TEST | CAUSE | ISSUE` on each line.
///
/// # Errors
///
/// The text names a line of another form, one that stands twice, or says that there are too many.
pub fn read(list: &str) -> Result<Vec<Known>, String> {
    let mut all: Vec<Known> = Vec::new();
    for line in list.lines().filter(|line| !line.trim().is_empty()) {
        let parts: Vec<&str> = line.split('|').map(str::trim).collect();
        let [test, cause, issue] = parts[..] else {
            return Err(format!("not of the form TARGET::TEST | CAUSE | ISSUE: {line}"));
        };
        if !test.contains("::") || cause.is_empty() || issue.is_empty() {
            return Err(format!("no target and test, no cause or no issue: {line}"));
        }
        if all.iter().any(|known| known.test == test) {
            return Err(format!("listed twice: {test}"));
        }
        all.push(Known { test: test.to_owned(), why: format!("{cause} ({issue})") });
    }
    if all.len() > MOST {
        return Err(format!("{} tests are listed, {MOST} at most may be", all.len()));
    }
    Ok(all)
}

/// How tests ended, by what the test runner wrote.
#[derive(Debug, Default)]
pub struct Run {
    /// The target whose tests are running.
    target: String,
    /// For each test how often it passed, and how often it failed.
    tests: BTreeMap<String, (u32, u32)>,
    /// Targets that said they had failed, and those that the runner counted.
    failed: usize,
    counted: usize,
}

impl Run {
    /// Takes in a line that the runner wrote.
    pub fn line(&mut self, line: &str) {
        let line = line.trim();
        if let Some(binary) = line.strip_prefix("Running ").and_then(|rest| rest.rsplit('/').next()) {
            // target/debug/deps/endings-cf30f7086c945f9e)
            self.target =
                binary.trim_end_matches(')').rsplit_once('-').map_or(binary, |(name, _)| name).into();
        } else if let Some(of) = line.strip_prefix("Doc-tests ") {
            self.target = format!("{of} (doc)");
        } else if line.starts_with("test result: FAILED") {
            self.failed += 1;
        } else if let Some((name, end)) = line.strip_prefix("test ").and_then(|rest| rest.split_once(" ... "))
        {
            let ends = self.tests.entry(format!("{}::{name}", self.target)).or_default();
            match end.split(' ').next() {
                Some("ok") => ends.0 += 1,
                Some("FAILED") => ends.1 += 1,
                _ => {}
            }
        } else if let Some(count) = line.strip_prefix("error: ").and_then(|rest| rest.split_once(" target")) {
            self.counted = count.0.parse().unwrap_or(self.counted);
        }
    }

    /// What speaks against this run, given how the runner ended and which tests are known to fail; nothing where it is good.
    pub fn faults(&self, succeeded: bool, list: &[Known]) -> Vec<String> {
        let mut faults = Vec::new();
        for (test, (_, failed)) in &self.tests {
            if *failed > 0 && !list.iter().any(|known| known.test == *test) {
                faults.push(format!("{test} failed"));
            }
        }
        for known in list {
            match self.tests.get(&known.test) {
                None | Some((0, 0)) => faults.push(format!("{} is listed and did not run", known.test)),
                Some((0, 1)) => {}
                Some((_, 0)) => faults.push(format!("{} is listed and passes: take it off", known.test)),
                Some(_) => faults.push(format!("{} is the name of several tests", known.test)),
            }
        }
        // A target that was killed, or could not be built, names no test.
        if !succeeded && (self.counted == 0 || self.counted != self.failed) {
            faults.push("the tests did not run to their end".into());
        }
        if self.tests.is_empty() {
            faults.push("no test ran".into());
        }
        faults
    }
}

impl fmt::Display for Known {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "known to fail: {}: {}", self.test, self.why)
    }
}
