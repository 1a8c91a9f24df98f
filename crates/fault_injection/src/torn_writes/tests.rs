//! The error texts of starts with truncated files.

use super::*;

#[test]
fn start_failures_state_the_cause() {
    assert_eq!(StartFailure::NotServing.to_string(), "the gatekeeper does not serve");
    let ambiguous = "the log says both that the cached list is used and that it is rejected";
    assert_eq!(StartFailure::Ambiguous.to_string(), ambiguous);
    let wrong_use = StartFailure::WrongUse { used: false, rejected: true };
    assert_eq!(wrong_use.to_string(), "cached list used: false, rejected: true");
}
