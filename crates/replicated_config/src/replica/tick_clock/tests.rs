use super::*;

/// Returns the time this many milliseconds after the start of the clock.
fn at_ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn ticks_are_counted_without_drift() {
    let mut clock = TickClock::new(at_ms(1_000));
    assert_eq!(clock.next_tick_at(), at_ms(1_050));
    assert_eq!(clock.advance(at_ms(1_049)), 0);
    assert_eq!(clock.advance(at_ms(1_120)), 2);
    assert_eq!(clock.next_tick_at(), at_ms(1_150));
}

#[test]
fn the_ticks_after_a_long_pause_are_limited() {
    let mut clock = TickClock::new(at_ms(0));
    assert_eq!(clock.advance(at_ms(1_000_000)), MAX_CATCH_UP_TICKS);
    assert_eq!(clock.advance(at_ms(1_000_000)), 0);
}

#[test]
fn a_clock_that_goes_back_causes_no_tick() {
    let mut clock = TickClock::new(at_ms(1_000));
    assert_eq!(clock.advance(at_ms(500)), 0);
    assert_eq!(clock.next_tick_at(), at_ms(1_050));
}
