//! Tests with invalid and extreme events and settings.

mod common;
use common::*;
use policy::*;

#[test]
fn odd_input_causes_no_panic() {
    let mut harness = Harness::new(settings(), &backends(2));
    let unknown_class = 9;
    for (id, units) in [(1, 0.0), (2, f64::NAN), (3, f64::INFINITY), (4, -1.0)] {
        harness.request(id, unknown_class, units);
    }
    for (id, tenant_gatekeepers) in [(5, 0.0), (6, f64::NAN), (7, 99.0)] {
        let unknown_plan = id + 40;
        harness.feed(RequestEvent {
            plan: unknown_plan,
            time_left: 0,
            tenant_gatekeepers,
            client_retry: true,
            ..request_of_tenant(1, id, 0)
        });
    }
    harness.end_attempt(77, 3, 99, Outcome::Ok);
    harness.end_attempt(5, 9, 1, Outcome::Timeout);
    harness.feed(Event::ClientGone { id: RequestId(1234) });
    harness.feed(counter_reply(5, f64::NAN, Outcome::Ok));
    let unknown_backend = BackendId(99);
    harness.feed(Event::HealthCheckEnded {
        backend: unknown_backend,
        outcome: Outcome::Ok,
        load: vec![f32::NAN],
    });
    harness.feed(Event::Endpoints { kind: ListKind::Failed, entries: vec![] });
    // The clock steps back.
    harness.now = Timestamp::ZERO;
    harness.request(8, 0, 1.0);
}

#[test]
fn invalid_settings_are_reported_by_name() {
    let index_out_of_range = Settings { gatekeeper_index: 5, ..settings() };
    let no_classes = Settings { classes: vec![], ..settings() };

    let error = Policy::new(index_out_of_range, 1, Timestamp::ZERO).expect_err("there are two gatekeepers");

    assert_eq!(error.setting(), "me");
    assert!(error.to_string().contains("`me`"));
    assert!(Policy::new(no_classes, 1, Timestamp::ZERO).is_err());
}

#[test]
fn a_fleet_of_any_size_starts_and_decides() {
    let settings = Settings { gatekeepers: 1_000, gatekeeper_index: 999, ..settings() };
    let mut harness = Harness::new(settings, &backends(300));
    harness.now += SECOND;

    let mut sent = 0;
    for id in 0..50 {
        harness.now += 50 * MS;
        let actions = harness.request(id, 0, 0.2);
        harness.tick();
        sent += harness.serve_attempts(id, &actions);
    }

    assert!(sent >= 25, "{sent} of 50 requests were sent to a backend");
}
