//! Tests of gatekeepers with wrong wall clocks. Counts are named by the fleet's time, the start of a backend
//! counts from its notification, and a snapshot is converted to the clock of the successor.

mod common;

use common::*;
use policy::*;
use std::collections::VecDeque;

const HOUR: Micros = 3_600 * SECOND;
/// A time far from zero, as on a real wall clock.
const NOW: Timestamp = Timestamp::from_micros(1_790_000_000 * SECOND);
/// The backend that is in slow start.
const COLD_BACKEND: BackendId = BackendId(9);

/// Settings with a slow start of 10 s that begins at a tenth of the capacity.
fn slow_start_settings() -> Settings {
    Settings {
        slow_start_share: 0.1,
        slow_start_duration: 10 * SECOND,
        overload_factor: 1.0,
        overload_duration: SECOND,
        shared_counter: false,
        ..unlimited_settings()
    }
}

/// Sends 400 requests in 4 s and returns how many go to [`COLD_BACKEND`]. Up to eight are in flight, so that
/// all backends are used.
fn sent_to_cold(harness: &mut Harness) -> usize {
    const IN_FLIGHT: usize = 8;
    let (mut sent_to_cold, mut in_flight) = (0, VecDeque::new());
    for id in 0..400 {
        harness.tick_for(10 * MS);
        for backend in sent_backends(&harness.request(id, 0, 1.0)) {
            sent_to_cold += usize::from(backend == COLD_BACKEND.0);
            in_flight.push_back((id, backend));
        }
        while in_flight.len() > IN_FLIGHT {
            let (id, backend) = in_flight.pop_front().expect("there is an attempt in flight");
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
    }
    for (id, backend) in in_flight {
        harness.end_attempt(id, 0, backend, Outcome::Ok);
    }
    sent_to_cold
}

/// An entry for [`COLD_BACKEND`] with its start on the fleet's clock.
fn cold_started(started: Timestamp) -> BackendEntry {
    BackendEntry { id: COLD_BACKEND, started, ..BackendEntry::default() }
}

fn notify(harness: &mut Harness, entry: BackendEntry) {
    harness.feed(Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] });
}

/// A gatekeeper whose clock is ahead by this many microseconds, with a complete list of warm backends.
fn gatekeeper_ahead(ahead: i64) -> Harness {
    let now = NOW.saturating_add_signed(ahead);
    let mut harness = Harness::start_at(now, slow_start_settings(), &backends(4));
    harness.feed(Event::Endpoints { kind: ListKind::Full, entries: backends(4) });
    harness
}

#[test]
fn a_start_that_is_notified_is_recent_whatever_the_clock_says() {
    let mut with_right_clock = gatekeeper_ahead(0);
    notify(&mut with_right_clock, cold_started(NOW));
    let usual = sent_to_cold(&mut with_right_clock);

    for ahead in [HOUR as i64, -(HOUR as i64), 25 * HOUR as i64] {
        let mut harness = gatekeeper_ahead(ahead);
        notify(&mut harness, cold_started(NOW));
        let sent = sent_to_cold(&mut harness);
        assert!(
            sent <= usual + 5,
            "clock {ahead} us ahead: {sent} of 400 requests went to the cold backend, {usual} with a right clock"
        );

        // Slow start ends after its duration, not an hour later.
        harness.tick_for(10 * SECOND);
        let sent_when_warm = sent_to_cold(&mut harness);
        assert!(
            sent_when_warm > 2 * usual,
            "clock {ahead} us ahead: {sent_when_warm} of 400 requests went to the warm backend, {usual} while it was cold"
        );
    }
}

#[test]
fn a_backend_that_starts_twice_is_cold_twice() {
    let mut harness = gatekeeper_ahead(HOUR as i64);
    notify(&mut harness, cold_started(NOW));
    let first = sent_to_cold(&mut harness);
    harness.tick_until(NOW + HOUR + 30 * SECOND);

    notify(&mut harness, cold_started(NOW + 30 * SECOND));
    let second = sent_to_cold(&mut harness);

    assert!(second <= first + 10, "{first} of 400 requests after the first start, {second} after the second");
}

#[test]
fn a_backend_that_comes_back_without_a_restart_is_as_warm_as_it_was() {
    let mut harness = gatekeeper_ahead(HOUR as i64);
    notify(&mut harness, cold_started(NOW));
    let sent_when_cold = sent_to_cold(&mut harness);
    harness.tick_until(NOW + HOUR + 60 * SECOND);

    notify(&mut harness, BackendEntry { state: BackendState::Gone, ..cold_started(NOW) });
    notify(&mut harness, cold_started(NOW));
    let sent_when_warm = sent_to_cold(&mut harness);

    assert!(
        sent_when_warm > 2 * sent_when_cold,
        "{sent_when_warm} of 400 requests after the return, {sent_when_cold} while the backend was cold"
    );
}

/// The start of a backend on the first complete list is read on the fleet's clock. A start in the future is
/// impossible, and counts as recent.
#[test]
fn starts_of_the_first_list_go_by_the_fleets_clock() {
    let just_started = cold_started(NOW.saturating_sub(SECOND));
    let entries: Vec<BackendEntry> = backends(4).into_iter().chain([just_started]).collect();
    let sent_after_first_list = |ahead: i64, offset: i64| {
        let mut harness = Harness::start_at(NOW.saturating_add_signed(ahead), slow_start_settings(), &[]);
        harness.policy.set_clock_offset(offset);
        harness.feed(Event::Endpoints { kind: ListKind::Full, entries: entries.clone() });
        sent_to_cold(&mut harness)
    };
    let usual = sent_after_first_list(0, 0);

    let hour = HOUR as i64;
    for (ahead, offset, clock) in [
        (hour, hour, "an hour ahead of the fleet"),
        (-hour, -hour, "an hour behind the fleet"),
        (-hour, 0, "an hour behind, with an unknown offset"),
        (0, hour, "right, and the fleet an hour behind"),
        (0, -hour, "right, and the fleet an hour ahead"),
    ] {
        let sent = sent_after_first_list(ahead, offset);
        assert!(
            sent <= usual + 5,
            "clock {clock}: {sent} of 400 requests went to the cold backend, {usual} with right clocks"
        );
    }
}

#[test]
fn counts_have_the_same_names_on_clocks_that_are_apart() {
    let call_name = |actions: &[Action]| counter_call(actions).expect("the counter is called").name;
    let mut with_right_clock = Harness::start_at(NOW, settings(), &backends(4));
    let name = call_name(&with_right_clock.request(1, 0, 1.0));

    for ahead in [HOUR as i64, -(HOUR as i64), 5 * SECOND as i64] {
        let mut harness = Harness::start_at(NOW.saturating_add_signed(ahead), settings(), &backends(4));
        harness.policy.set_clock_offset(ahead);
        assert_eq!(
            call_name(&harness.request(1, 0, 1.0)),
            name,
            "clock {ahead} us ahead: the count has another name"
        );
    }
}

/// Before the gatekeeper knows its clock offset, it adds spend to a count that no other gatekeeper reads.
/// This spend is reported again under the right name.
#[test]
fn spend_told_under_the_wrong_name_is_told_again() {
    let mut harness = Harness::start_at(NOW + HOUR, settings(), &backends(4));
    let call = counter_call(&harness.feed(request(1, 0, 4.0))).expect("the counter is called");

    harness.policy.set_clock_offset(HOUR as i64);
    let mut actions = harness.feed(counter_reply(call.name, call.units, Outcome::Ok));
    actions.extend(harness.tick_for(2 * SECOND));

    let repeated = counter_calls(&actions).find(|other| other.name != call.name);
    assert!(repeated.is_some_and(|call| call.units >= 4.0), "{actions:?}");
}

/// Regression: a successor whose clock was an hour behind that of its predecessor adopted the times of the
/// snapshot unchanged, and no bucket refilled for an hour.
#[test]
fn a_successor_on_another_clock_goes_on_at_once() {
    let settings = Settings { shared_counter: false, ..settings() };
    let admitted_of_100 = |harness: &mut Harness, first_id: u32| {
        (first_id..first_id + 100).filter(|&id| harness.serve(id, 0, 1.0)).count()
    };
    for ahead in [HOUR as i64, -(HOUR as i64), 5 * SECOND as i64, -5 * SECOND as i64] {
        let mut predecessor = Harness::start_at(NOW, settings.clone(), &backends(4));
        predecessor.tick_for(20 * SECOND);
        assert!(admitted_of_100(&mut predecessor, 0) > 0);

        let now = predecessor.now.saturating_add_signed(ahead);
        let mut successor = Harness::start_at(now, settings.clone(), &backends(4));
        successor.policy.take_over(successor.now, predecessor.policy.hand_over());
        let admitted = admitted_of_100(&mut successor, 200);
        assert_eq!(
            admitted, 0,
            "clock {ahead} us ahead: the successor admitted requests from an empty bucket"
        );

        // In two seconds, 10 units of the local share refill.
        successor.tick_for(2 * SECOND);
        let refilled = admitted_of_100(&mut successor, 400);
        assert!(
            (8..=11).contains(&refilled),
            "clock {ahead} us ahead: {refilled} requests admitted after the refill"
        );
    }
}
