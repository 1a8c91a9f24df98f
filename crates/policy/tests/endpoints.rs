//! Tests of the endpoint list, slow start and operator ejections.

mod common;
use common::*;
use policy::*;

#[test]
fn a_backend_that_drains_or_left_the_list_gets_no_new_attempts() {
    let mut harness = Harness::new(settings(), &backends(2));
    let draining =
        BackendEntry { id: BackendId(1), state: BackendState::Draining, ..BackendEntry::default() };
    harness.feed(Event::Endpoints { kind: ListKind::Delta, entries: vec![draining] });
    for id in 0..3 {
        assert_eq!(sent_backends(&harness.request(id, 0, 1.0)), [2]);
        let retry = harness.end_attempt(id, 0, 2, Outcome::ConnectFailed);
        assert!(sent_backends(&retry).is_empty(), "a retry went to a draining backend");
        harness.now += 200 * MS;
    }

    harness.feed(Event::Endpoints { kind: ListKind::Full, entries: vec![] });
    let actions = harness.request(9, 0, 0.1);

    assert!(is_rejected(&actions) && sent_backends(&actions).is_empty());
}

/// Gatekeepers that have just started have not measured the capacity of the backends. Whatever their number,
/// together they send a backend in slow start no more than it can serve. A warm backend serves ten requests a
/// second.
#[test]
fn gatekeepers_that_know_nothing_do_not_overload_backends_in_slow_start() {
    for gatekeepers in [1u32, 10, 100, 300] {
        let settings = Settings {
            gatekeepers,
            slow_start_share: 0.2,
            slow_start_duration: 20 * SECOND,
            overload_factor: 2.5,
            ..unlimited_settings()
        };
        let mut entries = backends(4);
        entries.iter_mut().for_each(|entry| entry.started = timestamp(1));
        let mut harnesses: Vec<Harness> = (0..gatekeepers)
            .map(|index| Harness::new(Settings { gatekeeper_index: index, ..settings.clone() }, &entries))
            .collect();

        let mut sent = [0u32; 5];
        for step in 1..=50 {
            for harness in &mut harnesses {
                harness.now = timestamp(u64::from(step) * 20 * MS);
                harness.tick();
                for backend in sent_backends(&harness.request(step, 0, 1.0)) {
                    sent[backend as usize] += 1;
                }
            }
        }

        // In one second a backend in slow start takes 2.5 times a fifth of ten requests. The bound of 9
        // allows for random variation.
        assert!(
            sent.iter().all(|&count| count <= 9),
            "{gatekeepers} gatekeepers sent {sent:?} to backends in slow start in a second"
        );
        assert!(sent.iter().sum::<u32>() > 0, "{gatekeepers} gatekeepers sent nothing");
    }
}

/// An operator ejection remains in force whatever the endpoint list says. A readmitted backend is in slow
/// start.
#[test]
fn a_backend_that_an_operator_ejected_gets_nothing_until_it_is_admitted_again() {
    let settings = Settings {
        slow_start_share: 0.2,
        slow_start_duration: 10 * SECOND,
        overload_duration: SECOND,
        ..settings()
    };
    let mut harness = Harness::start_at(timestamp(100 * SECOND), settings, &backends(2));
    let operator_ejection = |ejected| Event::OperatorEjection { backend: BackendId(1), ejected };

    harness.feed(operator_ejection(true));
    harness.feed(operator_ejection(true));
    let gone = BackendEntry { state: BackendState::Gone, ..backends(1)[0].clone() };
    let restarted =
        BackendEntry { id: BackendId(1), started: timestamp(99 * SECOND), ..BackendEntry::default() };
    for entries in [backends(2), vec![gone], vec![restarted]] {
        harness.feed(Event::Endpoints { kind: ListKind::Delta, entries });
        for offset in 0..4 {
            let id = offset + harness.now.as_micros() as u32;
            assert_eq!(sent_backends(&harness.request(id, 0, 0.1)), [2]);
            harness.end_attempt(id, 0, 2, Outcome::Ok);
            harness.now += SECOND;
        }
    }
    let summary = harness.policy.fleet_summary();
    assert_eq!((summary.listed, summary.unavailable), (2, 1));

    harness.feed(operator_ejection(false));
    assert_eq!(
        harness.policy.fleet_summary().unavailable,
        0,
        "the backend is still ejected: one readmission must undo two ejections"
    );
    // According to the list, the backend started long ago. If it counted as warm, it would get half of all
    // requests at once.
    harness.feed(Event::Endpoints { kind: ListKind::Full, entries: backends(2) });
    // This attempt stays in flight at the other backend, so the readmitted backend would be selected if it
    // were warm.
    assert_eq!(sent_backends(&harness.request(1, 0, 0.1)), [2]);
    let mut sent_to_readmitted = |requests: u32| {
        let mut sent = 0;
        for _ in 0..requests {
            let id = 10_000 + harness.now.as_micros() as u32;
            harness.tick_for(20 * MS);
            let actions = harness.request(id, 0, 0.01);
            harness.serve_attempts(id, &actions);
            sent += sent_backends(&actions).iter().filter(|&&backend| backend == 1).count();
        }
        sent
    };
    let (sent_at_first, sent_later) = (sent_to_readmitted(50), sent_to_readmitted(500));
    assert!(sent_at_first <= 15, "{sent_at_first} of 50 requests went to a backend in slow start");
    assert!(sent_later > 0, "the readmitted backend got no requests");
}
