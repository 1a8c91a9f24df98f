//! The limit per kind and the count of suppressed lines.

use super::*;

#[test]
fn one_line_of_each_kind_is_written_per_second_and_the_others_are_counted() {
    let mut limiter = LogLimiter::default();
    assert_eq!(limiter.suffix("a", 0), Some(String::new()));
    assert_eq!((limiter.suffix("a", 10), limiter.suffix("a", 999)), (None, None));
    assert_eq!(limiter.suffix("b", 10), Some(String::new()));
    assert_eq!(limiter.suffix("a", 1_000), Some(" (and 2 more like it)".into()));
    assert_eq!(limiter.suffix("a", 2_500), Some(String::new()));
}
