//! Which lines are written.

use super::*;

#[test]
fn one_a_second_of_each_kind_and_the_rest_counted() {
    let mut limiter = LogLimiter::default();
    assert_eq!(limiter.permit("a", 0), Some(LogPermit { suppressed: None }));
    assert_eq!((limiter.permit("a", 10), limiter.permit("a", 999)), (None, None));
    assert_eq!(limiter.permit("b", 10), Some(LogPermit { suppressed: None }));
    assert_eq!(limiter.permit("a", 1_000), Some(LogPermit { suppressed: Some(2) }));
    assert_eq!(limiter.permit("a", 2_500), Some(LogPermit { suppressed: None }));
}
