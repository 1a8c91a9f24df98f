//! Encoding and decoding of stamps in a total of the counter.

use super::*;

/// The stamp time that is this many ticks after 1970.
fn stamp_time(ticks: i64) -> StampTime {
    StampTime::from_micros(ticks * TICK_MICROS as i64)
}

#[test]
fn a_placed_stamp_decodes_to_its_time_whatever_the_clock_count_held() {
    for residue in [0, 7, -7, WRAP_PERIOD_TICKS - 1] {
        let time = stamp_time(123_456);
        let total = Ticks(residue + time.placement_amount(Ticks(residue)).0);
        assert_eq!(Stamp::decode(total.as_units()), Stamp::single(time), "with a residue of {residue}");
    }
}

#[test]
fn an_advanced_stamp_decodes_to_the_later_time_even_after_it_wraps_around() {
    for (from, to) in [(10, 20), (WRAP_PERIOD_TICKS - 4, WRAP_PERIOD_TICKS + 6)] {
        let (from, to) = (stamp_time(from), stamp_time(to));
        let total = WRAP_PERIOD_TICKS + from.0 + to.advance_amount(from).0;
        assert_eq!(Stamp::decode(total as f64), Stamp::single(to));
        assert_eq!(to.since(from), Ticks(10));
        assert_eq!(from.since(to), Ticks(-10));
    }
}

#[test]
fn a_difference_is_taken_the_shorter_way_around_the_period() {
    let half = WRAP_PERIOD_TICKS / 2;
    for (difference, expected) in
        [(0, 0), (half, half), (half + 1, 1 - half), (WRAP_PERIOD_TICKS, 0), (-1, -1)]
    {
        assert_eq!(
            stamp_time(WRAP_PERIOD_TICKS + difference).since(stamp_time(WRAP_PERIOD_TICKS)),
            Ticks(expected)
        );
    }
}

#[test]
fn each_placed_stamp_is_counted() {
    for placed_count in 0..5 {
        let stamp = Stamp::decode((placed_count * WRAP_PERIOD_TICKS + 42) as f64);
        assert_eq!(stamp, Stamp { placed_count, time: stamp_time(42) });
        assert_eq!(stamp.total(), Ticks(placed_count * WRAP_PERIOD_TICKS + 42));
    }
}

#[test]
fn an_invalid_total_counts_neither_as_one_stamp_nor_as_none() {
    for total in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, -1e300, 1e300] {
        let placed_count = Stamp::decode(total).placed_count;
        assert!(placed_count != 0 && placed_count != 1, "{total}: {placed_count}");
    }
}
