//! Tests of attempts: retries that a class permits, hedged requests, deadlines and timeouts.

mod common;
use common::*;
use policy::*;

const IDEMPOTENT: u16 = 0;
const KEYED: u16 = 1;
const NON_IDEMPOTENT: u16 = 2;

/// Longest time for which a process may be descheduled between reading its clock and writing an attempt.
const SCHEDULING_DELAY: Micros = 150 * MS;

/// The time within which the first attempt among these actions has to start.
fn max_start_delay(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Send { max_start_delay, .. } => Some(*max_start_delay),
        _ => None,
    })
}

/// The Retry-After of the first rejection among these actions.
fn retry_after(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

/// The event of the first timer among these actions that expires after this delay.
fn timer_after(delay: Micros, actions: &[Action]) -> Option<Event> {
    actions.iter().find_map(|action| match *action {
        Action::Timer { after, token } if after == delay => Some(Event::Timer { token }),
        _ => None,
    })
}

/// Regression: every slow attempt was hedged. An attempt at a backend that is merely slow still gets its
/// answer, so the hedged request is additional work. These requests took a sixth of the fleet's capacity and
/// kept it overloaded.
#[test]
fn a_slow_attempt_at_a_backend_that_answers_is_not_hedged() {
    for (backend_answers, expected_hedges) in [(true, 0), (false, 1)] {
        let mut harness = Harness::new(unlimited_settings(), &backends(2));
        let backend = sent_backends(&harness.request(1, IDEMPOTENT, 1.0))[0];
        let other_request = (2..10)
            .find(|&id| sent_backends(&harness.request(id, IDEMPOTENT, 1.0)) == [backend])
            .expect("another request goes to the same backend");
        harness.now += 200 * MS;
        if backend_answers {
            harness.end_attempt(other_request, 0, backend, Outcome::Ok);
        }

        let hedged = harness.feed(hedge_timer(1));

        assert_eq!(sent_backends(&hedged).len(), expected_hedges, "the backend answers: {backend_answers}");
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_retried() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), &backends(4));
        let backend = sent_backends(&harness.request(1, NON_IDEMPOTENT, 1.0))[0];

        let actions = harness.end_attempt(1, 0, backend, outcome);
        let at_deadline = harness.feed(deadline_timer(1));

        assert!(
            is_failed(&actions) && !is_rejected(&actions) && sent_backends(&actions).is_empty(),
            "{outcome:?}: {actions:?}"
        );
        assert!(!is_failed(&at_deadline), "{outcome:?}: the request was answered again at its deadline");
    }
}

#[test]
fn a_non_idempotent_request_in_flight_at_its_deadline_fails_and_is_not_rejected() {
    let mut harness = Harness::new(settings(), &backends(4));
    harness.request(1, NON_IDEMPOTENT, 1.0);
    harness.now += SECOND - 2 * MS;

    let actions = harness.feed(deadline_timer(1));

    assert!(is_failed(&actions) && !is_rejected(&actions));
}

#[test]
fn an_attempt_that_never_ran_is_retried_elsewhere_at_once_and_charged_once() {
    let mut harness = Harness::new(settings(), &backends(4));
    let call =
        counter_call(&harness.feed(request(1, NON_IDEMPOTENT, 1.0))).expect("the request calls the counter");
    // The total shows that another gatekeeper added to the count first, so no overflow is added.
    let first = sent_backends(&harness.feed(counter_reply(call.name, 5.0 + call.units, Outcome::Ok)));

    let retry = sent_backends(&harness.end_attempt(1, 0, first[0], Outcome::ConnectFailed));
    let later = harness.tick_until(timestamp(SECOND / 2));

    assert_eq!(retry.len(), 1);
    assert_ne!(retry, first);
    assert_eq!(counter_call(&later), None, "the retry was charged again");
}

#[test]
fn a_keyed_retry_stays_in_its_cell_and_inside_its_window() {
    let mut harness = Harness::new(settings(), &backends(8));
    let backend = sent_backends(&harness.request(1, KEYED, 1.0))[0];

    let retry = sent_backends(&harness.end_attempt(1, 0, backend, Outcome::Reset));

    assert_eq!(retry.len(), 1);
    assert_eq!(cell_of(backend), cell_of(retry[0]));

    let mut harness = Harness::new(settings(), &backends(8));
    let backend = sent_backends(&harness.request(1, KEYED, 1.0))[0];
    harness.now += 490 * MS;

    let late = harness.end_attempt(1, 0, backend, Outcome::Reset);

    assert!(sent_backends(&late).is_empty() && is_failed(&late), "{late:?}");
}

#[test]
fn a_drain_during_retries_and_hedged_requests_stops_both() {
    let mut harness = Harness::new(unlimited_settings(), &backends(3));
    let first = sent_backends(&harness.request(1, IDEMPOTENT, 1.0))[0];
    let draining = backends(3)
        .into_iter()
        .filter(|entry| entry.id != BackendId(first))
        .map(|entry| BackendEntry { state: BackendState::Draining, ..entry })
        .collect();
    harness.feed(Event::Endpoints { kind: ListKind::Delta, entries: draining });
    harness.now += 300 * MS;

    let hedged = harness.feed(hedge_timer(1));
    let retry = harness.end_attempt(1, 0, first, Outcome::ConnectFailed);

    assert!(sent_backends(&hedged).is_empty(), "a hedged request went to a draining backend");
    assert!(sent_backends(&retry).is_empty() && is_rejected(&retry), "{retry:?}");
}

#[test]
fn an_exhausted_request_is_rejected_at_once_with_a_retry_after() {
    let max_retry_after = 300 * MS;
    let settings = Settings { max_retry_after, ..settings_without_counter(1) };
    let request_of_own_tenant = |id: u32| request_of_tenant(u64::from(id), id, IDEMPOTENT);

    // Without another backend, the request is rejected when its attempt ends, and not near its deadline.
    let mut harness = Harness::new(settings.clone(), &backends(1));
    assert_eq!(sent_backends(&harness.feed(request(1, IDEMPOTENT, 1.0))), [1]);
    let actions = harness.end_attempt(1, 0, 1, Outcome::ConnectFailed);
    assert!(retry_after(&actions).is_some_and(|wait| wait > 0 && wait <= max_retry_after), "{actions:?}");

    // While the capacity is in use and answers are late, the Retry-After grows with the latency.
    let mut harness = Harness::new(settings, &backends(1));
    let admitted: Vec<(u32, u32)> = (1..=20)
        .map(|id| (id, harness.feed(request_of_own_tenant(id))))
        .filter_map(|(id, actions)| Some((id, *sent_backends(&actions).first()?)))
        .collect();
    harness.now += 450 * MS;
    for &(id, backend) in admitted.iter().take(6) {
        harness.feed(served_after(450 * MS, id, backend));
    }
    let waits: Vec<Micros> =
        (21..=40).filter_map(|id| retry_after(&harness.feed(request_of_own_tenant(id)))).collect();
    let is_long = |wait: Micros| wait > 10 * common::settings().tick && wait <= max_retry_after;
    assert!(!waits.is_empty() && waits.iter().all(|&wait| is_long(wait)), "{waits:?}");

    // With an empty bucket, the Retry-After is the time until the bucket holds the units: 0.1 s for each.
    let settings = Settings { max_retry_after: 10 * SECOND, ..settings_without_counter(1) };
    let mut harness = Harness::new(settings, &backends(40));
    let answers: Vec<_> = (1..=30).map(|id| harness.feed(request(id, IDEMPOTENT, 1.0))).collect();
    let wait = answers
        .iter()
        .find_map(|actions| retry_after(actions))
        .expect("30 requests exceed a bucket of 20 units");
    assert!((50 * MS..=200 * MS).contains(&wait), "the Retry-After is {wait} us");
}

#[test]
fn a_class_has_its_own_attempt_limit_timeout_and_hedge_delay() {
    let (attempt_timeout, hedge_after) = (90 * MS, 30 * MS);
    let mut settings = Settings { shared_counter: false, ..settings() };
    let class = &mut settings.classes[usize::from(IDEMPOTENT)];
    (class.max_attempts, class.attempt_timeout, class.hedge_after) = (2, attempt_timeout, hedge_after);
    let mut harness = Harness::start_at(timestamp(100 * SECOND), settings, &backends(4));
    let timeout = |actions: &[Action]| {
        actions
            .iter()
            .find_map(|action| if let Action::Send { timeout, .. } = action { Some(*timeout) } else { None })
    };

    let actions = harness.feed(request(1, IDEMPOTENT, 1.0));
    let first = sent_backends(&actions)[0];
    assert_eq!(timeout(&actions), Some(attempt_timeout));

    let timer = timer_after(hedge_after, &actions).expect("the class's hedge delay sets a timer");
    harness.now += hedge_after;
    let hedged = sent_backends(&harness.feed(timer));
    assert_eq!(hedged.len(), 1, "no hedged request was sent after the hedge delay");

    let after_first = harness.end_attempt(1, 0, first, Outcome::Timeout);
    assert_eq!(sent_backends(&after_first), [0; 0], "more attempts than the class allows");
    let after_second = harness.end_attempt(1, 1, hedged[0], Outcome::Timeout);
    assert!(is_rejected(&after_second), "no answer after the last attempt of the class");

    let other_class = harness.feed(request(2, KEYED, 1.0));
    assert_eq!(timeout(&other_class), Some(0), "another class got the attempt timeout");
}

/// Regression: a keyed retry was decided within the lifetime of its key, but its connection was established
/// so late that it started after the lifetime. Likewise, an attempt that was still connecting could start
/// long after its hedged request.
#[test]
fn a_keyed_retry_has_to_begin_inside_its_window_and_only_what_has_begun_is_retried() {
    let hedge_after = 200 * MS;
    for connect_timeout in [100 * MS, 300 * MS] {
        let mut harness = Harness::new(Settings { connect_timeout, ..settings() }, &backends(8));
        let first = harness.request(1, KEYED, 1.0);
        let first_delay = max_start_delay(&first).expect("the first attempt is sent");
        assert!(first_delay > SECOND, "the start of the first attempt is limited to {first_delay} us");
        harness.now += hedge_after;

        let hedged = harness.feed(timer_after(hedge_after, &first).expect("the hedge delay sets a timer"));

        // A key lives for 500 ms. 160 ms of them are the margin for a scheduling delay, so a repetition has
        // to start within 340 ms of the first attempt. 200 ms have passed.
        let expected = (connect_timeout < hedge_after).then_some(140 * MS);
        assert_eq!(max_start_delay(&hedged), expected, "connect timeout of {connect_timeout} us");
    }

    let mut harness = Harness::new(settings(), &backends(8));
    let backend = sent_backends(&harness.request(1, KEYED, 1.0))[0];
    harness.now += 100 * MS;

    let retry = harness.end_attempt(1, 0, backend, Outcome::Reset);

    assert_eq!(max_start_delay(&retry), Some(240 * MS));
}

/// Regression: the margin before the end of a key's lifetime was 15 percent of the lifetime. For a short
/// lifetime that is less than the scheduling delay.
#[test]
fn no_keyed_retry_is_decided_so_late_that_a_hold_up_ends_it_outside_its_window() {
    for key_ttl in [150 * MS, 300 * MS, 800 * MS, 3 * SECOND] {
        for elapsed in (0..key_ttl).step_by(50_000) {
            let mut settings = settings();
            settings.classes[usize::from(KEYED)].idempotency_key_ttl = key_ttl;
            let mut harness = Harness::new(settings, &backends(8));
            let backend = sent_backends(&harness.request(1, KEYED, 1.0))[0];
            harness.now += elapsed;

            let actions = harness.end_attempt(1, 0, backend, Outcome::Reset);

            for action in actions {
                if let Action::Send { max_start_delay, .. } = action {
                    let latest = elapsed + max_start_delay + SCHEDULING_DELAY;
                    assert!(
                        latest <= key_ttl,
                        "a retry after {elapsed} us may start after {latest} us, and the key lives for {key_ttl} us"
                    );
                }
            }
        }
    }
}
