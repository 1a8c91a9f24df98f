//! Arithmetic on clock readings and on points in time.

use periodic_jobs::ClockReading;
use std::time::Duration;
use timestamps::{MonotonicTime, UnixTime};

#[test]
fn adding_a_duration_advances_both_clocks_by_its_whole_milliseconds() {
    let start = ClockReading { unix: UnixTime::from_millis(1_000), monotonic: MonotonicTime::from_millis(5) };
    let later = start + Duration::from_micros(2_900);
    assert_eq!((later.unix.as_millis(), later.monotonic.as_millis()), (1_002, 7));
}

#[test]
fn differences_of_points_in_time_saturate_at_zero() {
    let (earlier, later) = (UnixTime::from_millis(10), UnixTime::from_millis(15));
    assert_eq!(later.saturating_since(earlier), Duration::from_millis(5));
    assert_eq!(earlier.saturating_since(later), Duration::ZERO);
    assert_eq!(earlier.saturating_sub(Duration::from_secs(1)), UnixTime::default());
}
