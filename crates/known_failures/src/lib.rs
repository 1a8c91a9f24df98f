//! Decides whether a test run or a soak run passes when some of its tests or rules are known to fail.
//!
//! A test that fails because of a fault in the code may stay in the suite until the fault is fixed, if a line of `KNOWN-RED.txt`
//! names the test, the command with its seed, what was seen and the issue. The list must stay short and accurate, or it would hide
//! regressions. Therefore the run fails if the list has more than [`MAX_KNOWN_FAILURES`] lines, if a listed test passes or does not
//! run, and if any other test fails. A test that fails only sometimes may pass if its line says in how many runs it failed. A soak run fails if a rule is broken that is not listed.

mod list;
mod soak_run;
mod test_run;

pub use list::{KnownFailure, ListError, MAX_KNOWN_FAILURES, parse_list};
pub use soak_run::SoakRun;
pub use test_run::{Problem, TestRun};
