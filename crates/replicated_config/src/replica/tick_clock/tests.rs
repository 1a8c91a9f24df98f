use super::*;

/// Returns the moment this many milliseconds after the start of the clock.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn ticks_are_counted_without_drift() {
    let mut clock = TickClock::new(at(1_000));
    assert_eq!(clock.next_tick_at(), at(1_050));
    assert_eq!(clock.advance(at(1_049)), 0);
    assert_eq!(clock.advance(at(1_120)), 2);
    assert_eq!(clock.next_tick_at(), at(1_150));
}

#[test]
fn a_long_pause_is_caught_up_on_only_in_part() {
    let mut clock = TickClock::new(at(0));
    assert_eq!(clock.advance(at(1_000_000)), MAX_CATCH_UP_TICKS);
    assert_eq!(clock.advance(at(1_000_000)), 0);
}

#[test]
fn a_clock_that_goes_back_causes_no_tick() {
    let mut clock = TickClock::new(at(1_000));
    assert_eq!(clock.advance(at(500)), 0);
    assert_eq!(clock.next_tick_at(), at(1_050));
}
