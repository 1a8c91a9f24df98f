//! Gatekeepers whose wall clocks are off: counts go by the fleet's time, starts of backends by what is notified, and a snapshot by
//! the clock of whoever takes it over.

mod common;

use common::*;
use policy::*;
use std::collections::VecDeque;

const HOUR: Micros = 3_600 * SECOND;
/// A time far from zero, as on a real wall clock.
const NOW: Micros = 1_790_000_000 * SECOND;
const COLD: BackendId = BackendId(9);

/// Backends are cold for 10 s, at a tenth of their capacity in the beginning.
fn cold_settings() -> Settings {
    Settings {
        slow_start_share: 0.1,
        slow_start_duration: 10 * SECOND,
        overload_factor: 1.0,
        overload_duration: SECOND,
        shared_counter: false,
        plans: vec![Plan::default()],
        ..settings()
    }
}

/// How many of 400 requests in 4 s go to the cold backend. Some are always in flight, so that all backends get work.
fn sent_to_cold(harness: &mut Harness) -> usize {
    const IN_FLIGHT: usize = 8;
    let (mut sent_to_cold, mut in_flight) = (0, VecDeque::new());
    for id in 0..400 {
        harness.tick_until(harness.now + 10 * MS);
        for backend in sends(&harness.request(id, 0, 1.0)) {
            sent_to_cold += usize::from(backend == COLD.0);
            in_flight.push_back((id, backend));
        }
        while in_flight.len() > IN_FLIGHT {
            let (id, backend) = in_flight.pop_front().expect("there are some");
            harness.end(id, 0, backend, Outcome::Ok);
        }
    }
    for (id, backend) in in_flight {
        harness.end(id, 0, backend, Outcome::Ok);
    }
    sent_to_cold
}

fn start(id: BackendId, started: Micros) -> BackendEntry {
    BackendEntry { id, started: at(started), ..BackendEntry::default() }
}

fn notify(harness: &mut Harness, entry: BackendEntry) {
    harness.feed(Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] });
}

/// A gatekeeper whose clock is so far ahead, that follows a list of warm backends.
fn following(ahead: i64) -> Harness {
    let now = NOW.saturating_add_signed(ahead);
    let mut harness = Harness::start(cold_settings(), &backends(4), now);
    harness.feed(Event::Endpoints { kind: ListKind::Full, entries: backends(4) });
    harness
}

#[test]
fn a_start_that_is_notified_is_recent_whatever_the_clock_says() {
    let mut right = following(0);
    notify(&mut right, start(COLD, NOW));
    let usual = sent_to_cold(&mut right);
    for ahead in [HOUR as i64, -(HOUR as i64), 25 * HOUR as i64] {
        let mut harness = following(ahead);
        notify(&mut harness, start(COLD, NOW));
        let sent = sent_to_cold(&mut harness);
        assert!(sent <= usual + 5, "{ahead} us ahead: {sent} of 400, {usual} with a clock that is right");
        // Warm after its time, and not an hour later.
        let warm_at = harness.now + 10 * SECOND;
        harness.tick_until(warm_at);
        let warm = sent_to_cold(&mut harness);
        assert!(warm > 2 * usual, "{ahead} us ahead: {warm} of 400 when it is warm, {usual} before");
    }
}

#[test]
fn a_backend_that_starts_twice_is_cold_twice() {
    let mut harness = following(HOUR as i64);
    notify(&mut harness, start(COLD, NOW));
    let first = sent_to_cold(&mut harness);
    harness.tick_until(NOW + HOUR + 30 * SECOND);
    notify(&mut harness, start(COLD, NOW + 30 * SECOND));
    let second = sent_to_cold(&mut harness);
    assert!(second <= first + 10, "{first}, then {second}");
}

#[test]
fn a_backend_that_comes_back_without_a_restart_is_as_warm_as_it_was() {
    let mut harness = following(HOUR as i64);
    notify(&mut harness, start(COLD, NOW));
    let cold = sent_to_cold(&mut harness);
    harness.tick_until(NOW + HOUR + 60 * SECOND);
    notify(&mut harness, BackendEntry { state: BackendState::Gone, ..start(COLD, NOW) });
    notify(&mut harness, start(COLD, NOW));
    let warm = sent_to_cold(&mut harness);
    assert!(warm > 2 * cold, "{warm} of 400, {cold} when it was cold");
}

/// A backend first heard of in the first whole list, by the fleet's clock or by what no backend can be: started in the future.
#[test]
fn starts_of_the_first_list_go_by_the_fleets_clock() {
    let entries: Vec<BackendEntry> = backends(4).into_iter().chain([start(COLD, NOW - SECOND)]).collect();
    let first_list = |ahead: i64, offset: i64| {
        let mut harness = Harness::start(cold_settings(), &[], NOW.saturating_add_signed(ahead));
        harness.policy.set_clock_offset(offset);
        harness.feed(Event::Endpoints { kind: ListKind::Full, entries: entries.clone() });
        sent_to_cold(&mut harness)
    };
    let usual = first_list(0, 0);
    let hour = HOUR as i64;
    for (ahead, offset, text) in [
        (hour, hour, "an hour ahead of the fleet"),
        (-hour, -hour, "an hour behind the fleet"),
        (-hour, 0, "an hour behind, and nothing known"),
        (0, hour, "right, and the fleet an hour behind"),
        (0, -hour, "right, and the fleet an hour ahead"),
    ] {
        let sent = first_list(ahead, offset);
        assert!(sent <= usual + 5, "{text}: {sent} of 400, {usual} with clocks that are right");
    }
}

/// The name and the amount of a counter call.
fn call(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::CounterAdd { name, .. } => Some(*name),
        _ => None,
    })
}

#[test]
fn counts_have_the_same_names_on_clocks_that_are_apart() {
    let mut right = Harness::start(settings(), &backends(4), NOW);
    let name = call(&right.request(1, 0, 1.0)).expect("the counter is asked");
    for ahead in [HOUR as i64, -(HOUR as i64), 5 * SECOND as i64] {
        let mut harness = Harness::start(settings(), &backends(4), NOW.saturating_add_signed(ahead));
        harness.policy.set_clock_offset(ahead);
        assert_eq!(call(&harness.request(1, 0, 1.0)), Some(name), "{ahead} us ahead");
    }
}

/// What was added to a count at which nobody looks is told again under the right name.
#[test]
fn spend_told_under_the_wrong_name_is_told_again() {
    let mut harness = Harness::start(settings(), &backends(4), NOW + HOUR);
    let out = harness.feed(request(1, 0, 4.0));
    let (name, units) = count(&out).expect("the counter is asked");
    harness.policy.set_clock_offset(HOUR as i64);
    let mut told = Vec::new();
    told.extend(harness.feed(counted(name, units, Outcome::Ok)));
    let until = harness.now + 2 * SECOND;
    told.extend(harness.tick_until(until));
    let again = told.iter().find_map(|action| match action {
        Action::CounterAdd { name: other, units, .. } if *other != name => Some(*units),
        _ => None,
    });
    assert!(again.is_some_and(|units| units >= 4.0), "{told:?}");
}

/// Guards upgrades across a step of the wall clock: a successor whose clock was an hour behind its predecessor's took that one's time,
/// and nothing refilled for an hour.
#[test]
fn a_successor_on_another_clock_goes_on_at_once() {
    let settings = Settings { shared_counter: false, ..settings() };
    for ahead in [HOUR as i64, -(HOUR as i64), 5 * SECOND as i64, -5 * SECOND as i64] {
        let mut giver = Harness::start(settings.clone(), &backends(4), NOW);
        giver.tick_until(NOW + 20 * SECOND);
        let admitted = |harness: &mut Harness, first: u32| {
            let ids = first..first + 100;
            ids.filter(|&id| {
                let sent = sends(&harness.request(id, 0, 1.0));
                sent.iter().for_each(|&backend| drop(harness.end(id, 0, backend, Outcome::Ok)));
                !sent.is_empty()
            })
            .count()
        };
        assert!(admitted(&mut giver, 0) > 0);
        let now = giver.now.saturating_add_signed(ahead);
        let mut taker = Harness::start(settings.clone(), &backends(4), now);
        taker.policy.take_over(at(taker.now), giver.policy.hand_over());
        assert_eq!(admitted(&mut taker, 200), 0, "{ahead} us ahead: the bucket is as empty as it was");
        // Two seconds refill 10 units of its half.
        taker.tick_until(now + 2 * SECOND);
        let refilled = admitted(&mut taker, 400);
        assert!((8..=11).contains(&refilled), "{ahead} us ahead: {refilled}");
    }
}
