//! Tests how a violation is printed.

use super::*;
use crate::rules;

#[test]
fn a_violation_is_printed_with_its_time_and_gatekeeper_if_they_are_known() {
    let violation = Violation::new(rules::HARD_CEILING, "2 units over");
    assert_eq!(violation.to_string(), "hard ceiling: 2 units over");
    let known = violation.at(std::time::Duration::from_millis(1_250)).by("n3");
    assert_eq!(known.to_string(), "  1.250 s n3: hard ceiling: 2 units over");
}
