//! Judges a test run in which some tests are known to fail.
//!
//! A test that fails for a real fault may stay in the suite until the fault is fixed, if a line of `KNOWN-RED.txt` names it with its
//! cause and its issue. The list must stay short and accurate, or it would hide regressions. So the run fails if the list has more
//! than [`MAX_KNOWN_FAILURES`] lines, if a listed test passes or does not run, and if any other test fails.

mod list;
mod test_run;

pub use list::{KnownFailure, ListError, MAX_KNOWN_FAILURES, parse_list};
pub use test_run::{Problem, TestRun};
