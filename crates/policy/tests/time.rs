//! Tests of arithmetic on timestamps and time spans.

use policy::Timestamp;

fn timestamp(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn timestamps_add_and_subtract_time_spans() {
    assert_eq!(timestamp(5) + 7, timestamp(12));
    assert_eq!(timestamp(12) - timestamp(5), 7);
    let mut moment = timestamp(5);
    moment += 2;
    assert_eq!((moment, timestamp(12).as_micros()), (timestamp(7), 12));
}

#[test]
fn saturating_arithmetic_stays_within_the_range_of_timestamps() {
    assert_eq!(timestamp(5).saturating_since(timestamp(9)), 0);
    assert_eq!((timestamp(5).abs_diff(timestamp(9)), timestamp(9).abs_diff(timestamp(5))), (4, 4));
    assert_eq!(Timestamp::MAX.saturating_add(1), Timestamp::MAX);
    assert_eq!(timestamp(5).saturating_sub(9), Timestamp::ZERO);
    assert_eq!(
        (timestamp(5).saturating_add_signed(-9), timestamp(5).saturating_add_signed(4)),
        (Timestamp::ZERO, timestamp(9))
    );
}

#[test]
fn a_timestamp_is_printed_as_its_microseconds() {
    assert_eq!(format!("{:?}", timestamp(42)), "42");
}
