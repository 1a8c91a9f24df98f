//! Records of counter calls in flight, and which gatekeepers need the fleet's clock.

use super::*;

const START: Timestamp = Timestamp::from_micros(1_000_000_000);

#[test]
fn each_counter_call_ends_once() {
    let mut calls = CounterCalls::new(30_000);
    let quota = calls.start(START, CallPurpose::Quota { name: 7 });
    let clock = calls.start(START + 5, CallPurpose::FleetClock);
    assert_ne!(quota, clock);
    let ended = calls.end(clock).expect("the call is in flight");
    assert_eq!((ended.purpose, ended.started_at), (CallPurpose::FleetClock, START + 5));
    assert!(calls.end(clock).is_none());
    assert_eq!(calls.end(quota).map(|call| call.purpose), Some(CallPurpose::Quota { name: 7 }));
    assert_eq!(calls.call_count(), 2);
}

#[test]
fn only_a_gatekeeper_that_shares_a_counter_reads_the_fleet_clock() {
    for (gatekeepers, shared_counter, needs_clock) in [(1, true, false), (4, false, false), (4, true, true)] {
        let settings = Settings { gatekeepers, shared_counter, ..Settings::default() };
        let mut clock = SharedClock::new(&settings, 1);
        assert!(clock.has_ended_first_read(), "no clock to read before the start");
        clock.start(START);
        assert_eq!(
            clock.has_ended_first_read(),
            !needs_clock,
            "{gatekeepers} gatekeepers, shared counter: {shared_counter}"
        );
    }
}
