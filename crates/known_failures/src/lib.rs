//! The verdict on a test run in which some tests are known to fail.
//!
//! A test that fails for a real fault which cannot be mended yet may stand, if a line of `KNOWN-RED.txt` names it with its cause
//! and its issue. The list must stay short and true, or it would hide what breaks: more than [`MAX_KNOWN_FAILURES`] lines, a test
//! that passes, one that does not exist, and any other failure fail the run.

mod list;
mod test_run;

pub use list::{KnownFailure, ListError, MAX_KNOWN_FAILURES, parse_list};
pub use test_run::{Problem, TestRun};
