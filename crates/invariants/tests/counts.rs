//! Violations are counted by guard.

use invariants::{Guard, check, violated, violations};

#[test]
fn violations_are_counted_by_guard_and_what_holds_is_none() {
    assert!(Guard::ALL.into_iter().all(|guard| violations(guard) == 0));
    check(Guard::Sending, true, format_args!("all is well"));
    check(Guard::Sending, false, format_args!("request {}", 7));
    (0..300).for_each(|request| violated(Guard::Closing, format_args!("request {request}")));
    let counts = Guard::ALL.map(violations);
    assert_eq!(counts, [1, 0, 300, 0]);
}

#[test]
fn guards_stand_at_their_numbers_and_have_names() {
    for (index, guard) in Guard::ALL.into_iter().enumerate() {
        assert_eq!(guard as usize, index);
        assert!(!guard.name().is_empty());
    }
}
