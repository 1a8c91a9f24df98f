//! Tests of several services behind one gatekeeper, and of backends of different sizes.

mod common;

use common::*;
use policy::*;
use std::collections::VecDeque;

/// Number of backends of each service in [`backends_of_two_services`].
const BACKENDS_PER_SERVICE: u32 = 4;

fn single_gatekeeper_settings() -> Settings {
    Settings { hedging: false, ..settings_without_counter(1) }
}

/// Settings with two classes: service 0 serves class 0, and service 1 serves class 1.
fn two_service_settings() -> Settings {
    let mut settings = single_gatekeeper_settings();
    settings.classes.truncate(2);
    settings.classes[1] = RequestClass { service: 1, ..settings.classes[0].clone() };
    settings.plans[0] = Plan { rate: 1000.0, burst: 1000.0, ..Plan::default() };
    settings
}

/// Number of the service of a backend of [`backends_of_two_services`].
fn service_of(backend: u32) -> u16 {
    u16::from(backend > BACKENDS_PER_SERVICE)
}

/// Backends 1 to 4 of service 0, and backends 5 to 8 of service 1.
fn backends_of_two_services() -> Vec<BackendEntry> {
    backends(2 * BACKENDS_PER_SERVICE)
        .into_iter()
        .map(|entry| BackendEntry { service: service_of(entry.id.0), ..entry })
        .collect()
}

#[test]
fn a_request_goes_to_its_service_also_when_retried() {
    let mut harness = Harness::new(two_service_settings(), &backends_of_two_services());
    for id in 0..40 {
        let service = (id % 2) as u16;

        let first = sent_backends(&harness.request(id, service, 1.0));
        assert!(first.len() == 1 && service_of(first[0]) == service, "{first:?}");

        let retries = sent_backends(&harness.end_attempt(id, 0, first[0], Outcome::Reset));
        assert!(retries.iter().all(|&backend| service_of(backend) == service), "{retries:?}");

        for (attempt, &backend) in (1..).zip(&retries) {
            harness.end_attempt(id, attempt, backend, Outcome::Ok);
        }
        harness.now += 100 * MS;
    }
}

/// Each service has a concurrency limit of its own. A common limit would reject requests to one service while
/// the other is slow.
#[test]
fn an_overload_of_one_service_leaves_the_capacity_of_the_other() {
    const SILENT_SERVICE: u16 = 0;
    const HEALTHY_SERVICE: u16 = 1;
    let mut harness = Harness::new(two_service_settings(), &backends_of_two_services());

    let (mut rejections, mut id) = ([0, 0], 0);
    for _ in 0..400 {
        for service in [SILENT_SERVICE, HEALTHY_SERVICE] {
            id += 1;
            let actions = harness.request(id, service, 1.0);
            rejections[usize::from(service)] += usize::from(is_rejected(&actions));
            if service == HEALTHY_SERVICE {
                harness.serve_attempts(id, &actions);
            }
        }
        harness.tick_for(5 * MS);
    }

    assert!(rejections[usize::from(SILENT_SERVICE)] > 100, "{rejections:?}");
    assert_eq!(rejections[usize::from(HEALTHY_SERVICE)], 0);
}

#[test]
fn the_bucket_and_the_ceiling_are_one_over_all_services() {
    let mut settings = two_service_settings();
    settings.plans[0] =
        Plan { rate: 10.0, burst: 10.0, ceiling_rate: 20.0, ceiling_burst: 20.0, ..Plan::default() };
    let mut harness = Harness::new(settings, &backends_of_two_services());
    harness.tick_until(timestamp(5 * SECOND));

    let mut admitted = 0;
    for id in 0..40 {
        let actions = harness.request(id, (id % 2) as u16, 1.0);
        admitted += harness.serve_attempts(id, &actions);
    }

    assert_eq!(admitted, 10, "the services do not share one bucket");
}

#[test]
fn a_service_without_backends_rejects_and_the_other_serves() {
    let only_service_1: Vec<BackendEntry> =
        backends_of_two_services().into_iter().filter(|entry| entry.service == 1).collect();
    let mut harness = Harness::new(two_service_settings(), &only_service_1);

    let to_service_0 = harness.request(1, 0, 1.0);
    let to_service_1 = harness.request(2, 1, 1.0);

    assert!(is_rejected(&to_service_0));
    assert_eq!(sent_backends(&to_service_1).len(), 1);
}

/// Numbers of attempts at each backend, for 3,000 requests of which up to `max_in_flight` are in flight at
/// once.
fn attempts_by_backend(sizes: &[f64], weighted_backends: bool, max_in_flight: usize) -> Vec<f64> {
    let settings =
        Settings { weighted_backends, plans: vec![Plan::default()], ..single_gatekeeper_settings() };
    let entries: Vec<BackendEntry> = backends(sizes.len() as u32)
        .into_iter()
        .zip(sizes)
        .map(|(entry, &size)| BackendEntry { size, ..entry })
        .collect();
    let mut harness = Harness::new(settings, &entries);
    let mut counts = vec![0.0; sizes.len()];
    let mut in_flight = VecDeque::new();
    for id in 0..3_000 {
        for backend in sent_backends(&harness.request(id, 0, 1.0)) {
            counts[backend as usize - 1] += 1.0;
            in_flight.push_back((id, backend));
        }
        if in_flight.len() >= max_in_flight
            && let Some((id, backend)) = in_flight.pop_front()
        {
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
        harness.tick_for(10 * MS);
    }
    counts
}

#[test]
fn work_goes_by_size_at_low_load_and_at_high() {
    for max_in_flight in [1, 6] {
        let counts = attempts_by_backend(&[0.5, 1.0, 1.5], true, max_in_flight);

        let (second, third) = (counts[1] / counts[0], counts[2] / counts[0]);
        assert!(
            (1.7..2.3).contains(&second) && (2.6..3.4).contains(&third),
            "{max_in_flight} in flight: {counts:?}"
        );
    }
}

#[test]
fn sizes_change_nothing_where_weighting_is_off_or_all_are_equal() {
    let by_unequal_sizes = attempts_by_backend(&[0.5, 1.0, 1.5], false, 1);
    assert_eq!(by_unequal_sizes, attempts_by_backend(&[1.0; 3], false, 1));
    assert_eq!(attempts_by_backend(&[2.0; 3], true, 1), attempts_by_backend(&[1.0; 3], false, 1));
    let by_invalid_sizes = attempts_by_backend(&[f64::NAN, 1.0, 1e9], true, 1);
    assert!(
        by_invalid_sizes.iter().all(|&count| count > 0.0),
        "a backend with an invalid size got no attempts"
    );
}
