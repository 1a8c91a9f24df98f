//! Arithmetic of moments, also at the ends of their range.

use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime, whole_millis};

#[test]
fn a_moment_moves_by_whole_milliseconds() {
    let moment = MonotonicTime::from_millis(1_000) + Duration::from_micros(2_900);
    assert_eq!(moment, MonotonicTime::from_millis(1_002));
    assert_eq!(moment.saturating_sub(Duration::from_millis(3)).as_millis(), 999);
    assert_eq!(moment.saturating_since(MonotonicTime::from_millis(900)), Duration::from_millis(102));
}

#[test]
fn the_time_since_a_later_moment_is_zero() {
    let earlier = UnixTime::from_millis(5);
    assert_eq!(earlier.saturating_since(UnixTime::from_millis(6)), Duration::ZERO);
}

#[test]
fn a_moment_stays_within_the_range_of_its_clock() {
    assert_eq!(MonotonicTime::ZERO.saturating_sub(Duration::from_secs(1)), MonotonicTime::ZERO);
    assert_eq!(MonotonicTime::NEVER + Duration::from_millis(1), MonotonicTime::NEVER);
    assert_eq!(MonotonicTime::from_millis(1) + Duration::MAX, MonotonicTime::NEVER);
}

#[test]
fn whole_milliseconds_are_rounded_down_and_saturate() {
    assert_eq!(whole_millis(Duration::from_micros(1_999)), 1);
    assert_eq!(whole_millis(Duration::MAX), u64::MAX);
}
