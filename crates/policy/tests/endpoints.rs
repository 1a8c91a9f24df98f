//! The endpoint list, slow start and operator ejections.

#![allow(clippy::too_many_lines, clippy::unwrap_used)]

mod common;
use common::*;
use policy::*;

#[test]
fn a_backend_that_drains_or_left_the_list_gets_no_new_attempts() {
    let mut b = Harness::new(settings(), &backends(2));
    let drained = BackendEntry { id: BackendId(1), state: BackendState::Draining, ..BackendEntry::default() };
    b.feed(Event::Endpoints { kind: ListKind::Delta, entries: vec![drained] });
    for id in 0..3 {
        assert_eq!(sends(&b.request(id, 0, 1.0)), [2]);
        // A retry must not go there either.
        assert!(sends(&b.end(id, 0, 2, Outcome::ConnectFailed)).is_empty());
        b.now += 200 * MS;
    }
    b.feed(Event::Endpoints { kind: ListKind::Full, entries: vec![] });
    let none = b.request(9, 0, 0.1);
    assert!(rejected(&none) && sends(&none).is_empty());
}

#[test]
fn gatekeepers_that_know_nothing_do_not_overload_backends_in_slow_start() {
    // However many gatekeepers have just started, all together send a backend in slow start no more than it bears. The
    // backends serve ten requests a second each when warm and have just started; all gatekeepers are new.
    for gatekeepers in [1u32, 10, 100, 300] {
        let plans = vec![Plan::default()];
        let cold = |me| Settings {
            gatekeepers,
            gatekeeper_index: me,
            slow_start_share: 0.2,
            slow_start_duration: 20 * SECOND,
            overload_factor: 2.5,
            plans: plans.clone(),
            ..settings()
        };
        let mut entries = backends(4);
        entries.iter_mut().for_each(|e| e.started = at(1));
        let mut all: Vec<Harness> = (0..gatekeepers).map(|me| Harness::new(cold(me), &entries)).collect();
        let mut sent = [0u32; 5];
        for step in 1..=50 {
            for (i, b) in all.iter_mut().enumerate() {
                b.now = step * 20 * MS;
                b.feed(Event::Timer { token: 0 });
                for backend in sends(&b.request(step as u32, 0, 1.0)) {
                    sent[backend as usize] += 1;
                }
                let _ = i;
            }
        }
        // 2.5 times a fifth of ten a second for one second, and chance.
        assert!(
            sent.iter().all(|&n| n <= 9),
            "{gatekeepers} gatekeepers sent {sent:?} to backend in slow starts in a second"
        );
        assert!(sent.iter().sum::<u32>() > 0, "{gatekeepers} gatekeepers never tried");
    }
}

/// Guards the ban of operators: it holds whatever the list says, and what is called back counts as cold.
#[test]
fn a_backend_that_an_operator_ejected_gets_nothing_until_it_is_admitted_again() {
    let settings = Settings {
        slow_start_share: 0.2,
        slow_start_duration: 10 * SECOND,
        overload_duration: SECOND,
        ..settings()
    };
    let mut harness = Harness::start(settings, &backends(2), 100 * SECOND);
    let hold = |held| Event::OperatorEjection { backend: BackendId(1), ejected: held };
    harness.feed(hold(true));
    harness.feed(hold(true));
    let restarted = BackendEntry { id: BackendId(1), started: at(99 * SECOND), ..BackendEntry::default() };
    for entries in [
        backends(2),
        vec![BackendEntry { state: BackendState::Gone, ..backends(1)[0].clone() }],
        vec![restarted],
    ] {
        harness.feed(Event::Endpoints { kind: ListKind::Delta, entries });
        for id in 0..4 {
            let id = id + harness.now as u32;
            let sent = sends(&harness.request(id, 0, 0.1));
            assert_eq!(sent, [2]);
            harness.end(id, 0, 2, Outcome::Ok);
            harness.now += SECOND;
        }
    }
    let members = harness.policy.fleet_summary();
    assert_eq!((members.listed, members.unavailable), (2, 1));
    harness.feed(hold(false));
    assert_eq!(harness.policy.fleet_summary().unavailable, 0, "one call back answers two calls out");
    // Its list still says that it has run for long. Were it thought warm, it would have half of all at once.
    harness.feed(Event::Endpoints { kind: ListKind::Full, entries: backends(2) });
    // With one always out at the other, a warm one would be the better choice.
    assert_eq!(sends(&harness.request(1, 0, 0.1)), [2]);
    let mut to = |times: u32| {
        let sent = (0..times).flat_map(|_| {
            let id = 10_000 + harness.now as u32;
            let until = harness.now + 20 * MS;
            harness.tick_until(until);
            let sent = sends(&harness.request(id, 0, 0.01));
            sent.iter().for_each(|&b| drop(harness.end(id, 0, b, Outcome::Ok)));
            sent
        });
        sent.filter(|&b| b == 1).count()
    };
    let (at_first, later) = (to(50), to(500));
    assert!(at_first <= 15, "it counts as cold: {at_first} of 50");
    assert!(later > 0, "and it is used again");
}
