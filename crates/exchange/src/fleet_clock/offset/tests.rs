//! Freshness of stamps by age, and corrections of the offset.

use super::*;
use policy::Micros;

const TICK_MICROS: Micros = super::super::stamp::TICK_MICROS;
const NOW: Timestamp = Timestamp::from_micros(1_790_000_000_000_000);

/// A stamp that is `age` ticks old at `NOW`.
fn stamp_of_age(age: i64) -> StampTime {
    StampTime::from_micros(NOW.as_micros() as i64 - Ticks(age).as_micros())
}

#[test]
fn a_stamp_is_fresh_then_possibly_stale_then_from_an_offset_clock() {
    let estimate = OffsetEstimate::default();
    for (age, expected) in [
        (-6, Freshness::OffsetClock),
        (-5, Freshness::Fresh),
        (20, Freshness::Fresh),
        (21, Freshness::PossiblyStale),
        (620, Freshness::PossiblyStale),
        (621, Freshness::OffsetClock),
        (400_000, Freshness::OffsetClock),
        (600_000, Freshness::OffsetClock),
    ] {
        assert_eq!(estimate.freshness(NOW, stamp_of_age(age)), expected, "{age} ticks old");
    }
}

#[test]
fn an_adopted_stamp_corrects_the_offset_and_then_has_the_mean_age() {
    for age in [-36_000, 36_000, 30, -400_000] {
        let mut estimate = OffsetEstimate::default();
        let stamp = stamp_of_age(age);
        estimate.adopt(NOW, stamp);
        assert_eq!(estimate.offset().as_micros(), (age - 5) * TICK_MICROS as i64);
        assert_eq!(estimate.fleet_time(NOW).since(stamp), MEAN_STAMP_AGE);
        assert_eq!(estimate.freshness(NOW, stamp), Freshness::Fresh);
    }
}

#[test]
fn corrections_add_up() {
    let mut estimate = OffsetEstimate::default();
    estimate.adopt(NOW, stamp_of_age(1_000));
    estimate.adopt(NOW, stamp_of_age(-500));
    assert_eq!(estimate.offset().as_micros(), (-500 - 5) * TICK_MICROS as i64);
}
