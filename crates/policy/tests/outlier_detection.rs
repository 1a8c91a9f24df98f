//! Tests of outlier detection and backend selection: silent, failing, slow and unreachable backends.

mod common;
use common::*;
use policy::*;

/// Classes with a latency objective of 250 ms. Their initial mean latency is 50 ms, the latency of the
/// answers, so no backend looks faster than another.
fn classes_with_short_objective() -> Vec<RequestClass> {
    settings()
        .classes
        .into_iter()
        .map(|class| RequestClass { latency_objective: 250 * MS, ..class })
        .collect()
}

#[test]
fn a_silent_backend_is_ejected_and_its_work_hedged() {
    const SILENT: u32 = 1;
    const REQUESTS_PER_HEDGE_DELAY: u32 = 25;
    let mut harness = Harness::new(unlimited_settings(), &backends(4));

    let (mut sent_to_silent, mut is_hedged) = (0, false);
    for id in 0..300u32 {
        harness.now += 10 * MS;
        let mut actions = harness.request(id, 0, 1.0);
        let first_attempts = sent_backends(&actions);
        actions.extend(harness.tick());
        is_hedged |= sent_backends(&actions).len() > first_attempts.len();
        for backend in first_attempts {
            let hedged = harness.feed(hedge_timer(id.saturating_sub(REQUESTS_PER_HEDGE_DELAY)));
            is_hedged |= !sent_backends(&hedged).is_empty();
            if backend == SILENT {
                sent_to_silent += 1;
            } else {
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
    }

    assert!(is_hedged, "requests at the silent backend are hedged");
    assert!(sent_to_silent < 12, "{sent_to_silent} of 300 went to the silent backend");
}

/// Regression: after a network partition, the latency estimate of a backend was so high that the backend got
/// no trial until the estimate had decayed. After a partition of 2.5 s, up to three of six loan servers were
/// unused for 10 to 22 s.
#[test]
fn a_backend_that_was_cut_off_is_tried_soon_after() {
    struct InFlight {
        ends_at: Timestamp,
        id: u32,
        backend: u32,
        outcome: Outcome,
    }
    const PARTITIONED_BACKEND: u32 = 1;
    let (partition_start, partition_end) = (timestamp(SECOND), timestamp(4 * SECOND));
    let mut harness = Harness::new(Settings { hedging: false, ..unlimited_settings() }, &backends(4));

    let mut in_flight = Vec::new();
    let mut first_trial = None;
    for id in 0..2_000 {
        harness.now += 10 * MS;
        let is_partitioned = (partition_start..partition_end).contains(&harness.now);
        let mut actions = harness.request(id, 0, 1.0);
        actions.extend(harness.tick());
        for backend in sent_backends(&actions) {
            let is_lost = backend == PARTITIONED_BACKEND && is_partitioned;
            let (elapsed, outcome) = if is_lost { (SECOND, Outcome::Reset) } else { (20 * MS, Outcome::Ok) };
            in_flight.push(InFlight { ends_at: harness.now + elapsed, id, backend, outcome });
            if backend == PARTITIONED_BACKEND && harness.now >= partition_end {
                first_trial.get_or_insert(harness.now);
            }
        }
        for ended in in_flight.extract_if(.., |attempt| attempt.ends_at <= harness.now).collect::<Vec<_>>() {
            harness.end_attempt(ended.id, 0, ended.backend, ended.outcome);
        }
    }

    let delay_ms = first_trial.map(|time| (time - partition_end) / MS);
    assert!(
        delay_ms.is_some_and(|ms| ms < 1_000),
        "the first trial came {delay_ms:?} ms after the partition"
    );
    assert_eq!(harness.policy.fleet_summary().unavailable, 0);
}

#[test]
fn when_all_backends_fall_silent_at_once_none_is_ejected() {
    let mut harness = Harness::new(unlimited_settings(), &backends(4));
    harness.now += 10 * MS;
    for id in 0..4 {
        harness.request(id, 0, 1.0);
    }
    harness.now += 400 * MS;
    harness.tick();

    let actions = harness.request(9, 0, 1.0);

    assert!(
        !sent_backends(&actions).is_empty(),
        "all backends were ejected at once, and none got the request"
    );
}

/// Regression: during an upgrade, the only available backend was ejected as silent. All requests were
/// rejected until the next periodic update of panic mode, up to 0.2 s later.
#[test]
fn panic_mode_begins_with_the_last_backend_that_falls_silent() {
    for phase in 0..10 {
        let mut harness = Harness::new(unlimited_settings(), &backends(2));
        harness.tick_until(timestamp((1 + phase) * 20 * MS));
        harness.request(0, 0, 1.0);
        harness.request(1, 0, 1.0);
        for id in 2..30 {
            let actions = harness.tick_for(20 * MS);
            assert!(!is_rejected(&actions), "{actions:?}");

            let actions = harness.request(id, 0, 1.0);

            let finds_no_backend =
                |action: &Action| matches!(action, Action::Reject { reason: RejectReason::NoBackend, .. });
            assert!(
                !actions.iter().any(finds_no_backend),
                "phase {phase}: no backend was found for request {id}"
            );
            for backend in sent_backends(&actions) {
                harness.end_attempt(id, 0, backend, Outcome::NotSent);
            }
        }
    }
}

#[test]
fn a_backend_is_ejected_for_the_one_class_that_it_does_not_answer() {
    struct LostRequest {
        times_out_at: Timestamp,
        id: u32,
    }
    const LOST_CLASS: u16 = 2;
    const FAULTY: u32 = 1;
    let settings =
        Settings { classes: classes_with_short_objective(), hedging: false, ..unlimited_settings() };
    let mut harness = Harness::new(settings, &backends(2));

    let (mut lost, mut served_by_faulty) = (0, 0);
    let mut in_flight = Vec::new();
    for id in 0..400 {
        harness.now += 20 * MS;
        let class = if id % 2 == 0 { 0 } else { LOST_CLASS };
        let actions = harness.request(id, class, 1.0);
        harness.tick();
        for backend in sent_backends(&actions) {
            if backend == FAULTY && class == LOST_CLASS {
                lost += 1;
                in_flight.push(LostRequest { times_out_at: harness.now + SECOND, id });
            } else {
                served_by_faulty += usize::from(backend == FAULTY);
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
        for request in
            in_flight.extract_if(.., |request| request.times_out_at <= harness.now).collect::<Vec<_>>()
        {
            harness.end_attempt(request.id, 0, FAULTY, Outcome::Timeout);
        }
    }

    assert!(lost < 40, "{lost} of 200 requests went to the backend that does not answer their class");
    assert!(
        served_by_faulty > 10,
        "only {served_by_faulty} of 200 requests of the other class were served by that backend"
    );
}

#[test]
fn a_rejection_of_one_plan_leaves_the_backend_to_the_others() {
    const REJECTING: u32 = 1;
    const REJECTED_PLAN: u32 = 0;
    const OTHER_PLAN: u32 = 1;
    let settings = Settings {
        plans: vec![Plan::default(), Plan::default()],
        classes: classes_with_short_objective(),
        gatekeepers: 100,
        ..settings()
    };
    let mut harness = Harness::new(settings, &backends(8));
    let mut first_attempt_goes_to_rejecting = |id: u32, plan: u32| {
        harness.now += 100 * MS;
        let actions = harness.feed(RequestEvent {
            plan,
            tenant_gatekeepers: 100.0,
            ..request_of_tenant(u64::from(plan), id, 0)
        });
        let Some(&first) = sent_backends(&actions).first() else { return false };
        let is_rejected = first == REJECTING && plan == REJECTED_PLAN;
        let outcome = if is_rejected { Outcome::Rejected } else { Outcome::Ok };
        if let Some(&second) = sent_backends(&harness.end_attempt(id, 0, first, outcome)).first() {
            harness.end_attempt(id, 1, second, Outcome::Ok);
        }
        first == REJECTING
    };

    let rejected = (0..400).filter(|&id| first_attempt_goes_to_rejecting(id, REJECTED_PLAN)).count();
    let served = (1000..1400).filter(|&id| first_attempt_goes_to_rejecting(id, OTHER_PLAN)).count();

    assert!(rejected <= 45, "{rejected} of 400 requests went to the backend that rejects their plan");
    assert!(served >= 20, "only {served} of 400 requests of the other plan went to that backend");
}

#[test]
fn a_backend_without_a_free_connection_is_in_growing_backoff_for_every_class() {
    const UNREACHABLE: u32 = 1;
    let mut harness = Harness::new(settings_without_counter(200), &backends(2));

    let (mut connect_failures, mut served) = (0, 0);
    for id in 1..=600 {
        harness.now += 50 * MS;
        let class = (id % 2) as u16;
        let mut sent = sent_backends(&harness.feed(request_of_tenant(u64::from(id), id, class)));
        for attempt in 0..2 {
            match sent.first() {
                Some(&UNREACHABLE) => {
                    connect_failures += 1;
                    let actions = harness.end_attempt(id, attempt, UNREACHABLE, Outcome::ConnectFailed);
                    sent = sent_backends(&actions);
                }
                Some(&other) => {
                    served += 1;
                    harness.now += 5 * MS;
                    harness.end_attempt(id, attempt, other, Outcome::Ok);
                    break;
                }
                None => break,
            }
        }
    }

    // In 33 s there are backoffs of 2 s, 4 s, 8 s, 16 s and 20 s, common to both classes.
    assert!(
        (1..=6).contains(&connect_failures),
        "{connect_failures} attempts at a backend that accepts no connection"
    );
    assert!(served > 300, "only {served} requests were served");

    // The backend recovers. It is selected while the other backend is busy, and an answer resets the backoff.
    harness.now += 20 * SECOND;
    let mut sent_to_recovered = 0;
    for id in 1001..=1200 {
        harness.now += 100 * MS;
        let pair = [id, id + 1000]
            .map(|id| (id, sent_backends(&harness.feed(request_of_tenant(u64::from(id), id, 0)))));
        for (id, sent) in pair {
            for backend in sent {
                sent_to_recovered += usize::from(backend == UNREACHABLE);
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
    }
    assert!(sent_to_recovered > 50, "only {sent_to_recovered} attempts at a backend that has recovered");
}

#[test]
fn backends_that_accept_no_connection_are_not_tried_by_every_request() {
    let mut harness = Harness::new(settings_without_counter(200), &backends(2));

    let mut connect_failures = 0;
    for id in 1..=600 {
        harness.now += 50 * MS;
        let class = (id % 2) as u16;
        let mut sent = sent_backends(&harness.feed(request_of_tenant(u64::from(id), id, class)));
        for attempt in 0.. {
            let Some(&backend) = sent.first() else { break };
            connect_failures += 1;
            sent = sent_backends(&harness.end_attempt(id, attempt, backend, Outcome::ConnectFailed));
        }
    }

    // In 30 s each of the two backends has backoffs of 2 s, 4 s, 8 s and 16 s, common to both classes.
    assert!(
        (2..=10).contains(&connect_failures),
        "{connect_failures} attempts at backends that accept no connection"
    );
}

/// Ten of 40 backends are fast. The others answer with twelve times their latency, so the first answer of a
/// backend without a latency estimate is usually slow.
#[test]
fn while_first_contacts_go_badly_a_known_good_backend_is_selected() {
    const FAST_BACKENDS: u32 = 10;
    const WARM_UP_REQUESTS: u32 = 100;
    let mut harness = Harness::new(settings_without_counter(300), &backends(40));

    let (mut sent_to_slow, mut sent) = (0, 0);
    for id in 1..=400 {
        harness.now += 200 * MS;
        for backend in sent_backends(&harness.feed(request_of_tenant(u64::from(id), id, 0))) {
            let is_slow = backend > FAST_BACKENDS;
            if id > WARM_UP_REQUESTS {
                sent += 1;
                sent_to_slow += usize::from(is_slow);
            }
            let elapsed = if is_slow { 600 * MS } else { 50 * MS };
            harness.now += elapsed;
            harness.feed(served_after(elapsed, id, backend));
        }
    }

    assert!(sent > 150, "only {sent} attempts were sent");
    assert!(
        sent_to_slow * 5 < sent,
        "{sent_to_slow} of {sent} attempts went to slow backends, three quarters of the fleet"
    );
}

/// A backend that resets each connection immediately must not count as the fastest and attract all requests.
#[test]
fn a_backend_that_resets_at_once_attracts_no_work() {
    const RESETTING: u32 = 1;
    let settings = Settings { plans: vec![Plan::default()], ..settings_without_counter(1) };
    let mut harness = Harness::new(settings, &backends(4));

    let mut resets = 0;
    for id in 0..400 {
        let mut sent = sent_backends(&harness.request(id, 0, 1.0));
        let mut attempt = 0;
        while let Some(backend) = sent.pop() {
            let ended = if backend == RESETTING {
                resets += 1;
                attempt_ended_after(MS / 5, id, attempt, backend, Outcome::Reset)
            } else {
                attempt_ended(id, attempt, backend, Outcome::Ok)
            };
            sent = sent_backends(&harness.feed(ended));
            attempt += 1;
        }
        harness.tick_for(10 * MS);
    }

    assert!(resets < 20, "{resets} of 400 requests had an attempt at the backend that resets connections");
}
