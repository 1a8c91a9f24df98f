//! Violations are counted by guard.

use invariants::{Guard, check, report_violation, violations};

#[test]
fn violations_are_counted_by_guard_and_an_invariant_that_holds_is_not_counted() {
    assert!(Guard::ALL.into_iter().all(|guard| violations(guard) == 0));
    check(Guard::Sending, true, format_args!("all is well"));
    check(Guard::Sending, false, format_args!("request {}", 7));
    (0..300).for_each(|request| report_violation(Guard::Closing, format_args!("request {request}")));
    let counts = Guard::ALL.map(violations);
    assert_eq!(counts, [1, 0, 300, 0]);
}

#[test]
fn each_guard_is_listed_at_its_discriminant_and_has_a_name() {
    for (index, guard) in Guard::ALL.into_iter().enumerate() {
        assert_eq!(guard as usize, index);
        assert!(!guard.name().is_empty());
    }
}
