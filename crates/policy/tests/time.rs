//! Tests of arithmetic on timestamps and time spans.

use policy::Timestamp;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn timestamps_add_and_subtract_time_spans() {
    assert_eq!(at(5) + 7, at(12));
    assert_eq!(at(12) - at(5), 7);
    let mut moment = at(5);
    moment += 2;
    assert_eq!((moment, at(12).as_micros()), (at(7), 12));
}

#[test]
fn saturating_arithmetic_stays_within_the_range_of_timestamps() {
    assert_eq!(at(5).saturating_since(at(9)), 0);
    assert_eq!((at(5).abs_diff(at(9)), at(9).abs_diff(at(5))), (4, 4));
    assert_eq!(Timestamp::MAX.saturating_add(1), Timestamp::MAX);
    assert_eq!(at(5).saturating_sub(9), Timestamp::ZERO);
    assert_eq!((at(5).saturating_add_signed(-9), at(5).saturating_add_signed(4)), (Timestamp::ZERO, at(9)));
}

#[test]
fn a_timestamp_is_printed_as_its_microseconds() {
    assert_eq!(format!("{:?}", at(42)), "42");
}
