//! The limit per kind and the count of suppressed events.

use super::*;

#[test]
fn one_event_of_each_kind_is_logged_per_second_and_the_others_are_counted() {
    let mut limiter = LogLimiter::default();
    assert_eq!(limiter.permit("a", 0), Some(LogPermit { suppressed: None }));
    assert_eq!((limiter.permit("a", 10), limiter.permit("a", 999)), (None, None));
    assert_eq!(limiter.permit("b", 10), Some(LogPermit { suppressed: None }));
    assert_eq!(limiter.permit("a", 1_000), Some(LogPermit { suppressed: Some(2) }));
    assert_eq!(limiter.permit("a", 2_500), Some(LogPermit { suppressed: None }));
}
