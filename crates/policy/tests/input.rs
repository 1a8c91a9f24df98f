//! Odd input and settings.

#![allow(clippy::too_many_lines, clippy::unwrap_used)]

mod common;
use common::*;
use policy::*;

#[test]
fn odd_input_causes_no_panic() {
    let mut b = Harness::new(settings(), &backends(2));
    for (id, units) in [(1, 0.0), (2, f64::NAN), (3, f64::INFINITY), (4, -1.0)] {
        b.request(id, 9, units);
    }
    for (id, set_size) in [(5, 0.0), (6, f64::NAN), (7, 99.0)] {
        let plan = id + 40;
        b.feed(Event::Request {
            id: RequestId(id),
            class: 0,
            plan,
            tenant: TenantId(1),
            time_left: 0,
            tenant_gatekeepers: set_size,
            units: 1.0,
            client_retry: true,
        });
    }
    b.end(77, 3, 99, Outcome::Ok);
    b.end(5, 9, 1, Outcome::Timeout);
    b.feed(Event::ClientGone { id: RequestId(1234) });
    b.feed(counted(5, f64::NAN, Outcome::Ok));
    b.feed(Event::HealthCheckEnded { backend: BackendId(99), outcome: Outcome::Ok, load: vec![f32::NAN] });
    b.feed(Event::Endpoints { kind: ListKind::Failed, entries: vec![] });
    b.now = 0;
    b.request(8, 0, 1.0);
}

#[test]
fn unusable_settings_are_named() {
    let error = Policy::new(Settings { gatekeeper_index: 5, ..settings() }, 1, Timestamp::ZERO).unwrap_err();
    assert_eq!(error.setting(), "me");
    assert!(error.to_string().contains("`me`"));
    assert!(Policy::new(Settings { classes: vec![], ..settings() }, 1, Timestamp::ZERO).is_err());
}

#[test]
fn a_fleet_of_any_size_starts_and_decides() {
    let s = Settings { gatekeepers: 1_000, gatekeeper_index: 999, ..settings() };
    let mut b = Harness::new(s, &backends(300));
    b.now += SECOND;
    let mut sent = 0;
    for id in 0..50 {
        b.now += 50 * MS;
        let actions = b.request(id, 0, 0.2);
        b.feed(Event::Timer { token: 0 });
        for backend in sends(&actions) {
            sent += 1;
            b.end(id, 0, backend, Outcome::Ok);
        }
    }
    assert!(sent >= 25, "{sent} of 50 were sent");
}
