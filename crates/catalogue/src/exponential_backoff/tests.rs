//! Growth and bounds of the backoff.

use super::*;

#[test]
fn doubles_with_each_failure_up_to_its_bound() {
    let backoff = ExponentialBackoff { initial: Duration::from_millis(500), max: Duration::from_secs(16) };
    for (earlier_failures, millis) in
        [(0, 500), (1, 1_000), (2, 2_000), (5, 16_000), (6, 16_000), (u32::MAX, 16_000)]
    {
        assert_eq!(
            backoff.after(earlier_failures),
            Duration::from_millis(millis),
            "{earlier_failures} earlier failures"
        );
    }
}

#[test]
fn is_never_zero() {
    let backoff = ExponentialBackoff { initial: Duration::ZERO, max: Duration::ZERO };
    assert_eq!(backoff.after(3), Duration::from_millis(1));
}
