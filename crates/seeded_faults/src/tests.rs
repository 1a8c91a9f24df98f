//! Which faults are active in a build.

use super::*;

#[cfg(not(feature = "on"))]
#[test]
fn no_fault_is_active_without_the_feature() {
    const { assert!(!ENABLED) };
    for fault in ["", "answers", "ceilings", "drained", "rounds", "exits", "holds", "agreed", "lease"] {
        assert!(!is_active(fault), "{fault}");
    }
}

#[cfg(feature = "on")]
#[test]
fn only_the_fault_that_the_variable_names_is_active() {
    const { assert!(ENABLED) };
    let named = std::env::var(FAULT_VARIABLE).unwrap_or_default();
    assert!(is_active(&named));
    assert!(!is_active("no such fault"));
}
