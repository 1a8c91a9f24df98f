//! Several services behind one module, and work by size.

#![allow(clippy::too_many_lines, clippy::unwrap_used)]

mod common;

use common::*;
use policy::*;

fn one_gateway() -> Settings {
    Settings { gatekeepers: 1, shared_counter: false, hedging: false, ..settings() }
}

/// Classes 0 and 1 belong to services 0 and 1.
fn two_services() -> Settings {
    let mut settings = one_gateway();
    settings.classes.truncate(2);
    settings.classes[1] = RequestClass { service: 1, ..settings.classes[0].clone() };
    settings.plans[0] = Plan { rate: 1000.0, burst: 1000.0, ..Plan::default() };
    settings
}

/// Four of each service: 1 to 4 and 5 to 8.
fn fleets() -> Vec<BackendEntry> {
    backends(8).into_iter().map(|e| BackendEntry { service: u16::from(e.id > BackendId(4)), ..e }).collect()
}

#[test]
fn a_request_goes_to_its_service_also_when_retried() {
    let mut b = Harness::new(two_services(), &fleets());
    for id in 0..40 {
        let class = (id % 2) as u16;
        let here = |backend: u32| u16::from(backend > 4) == class;
        let first = sends(&b.request(id, class, 1.0));
        assert!(first.len() == 1 && here(first[0]), "{first:?}");
        let again = sends(&b.end(id, 0, first[0], Outcome::Reset));
        assert!(again.iter().all(|&a| here(a)), "{again:?}");
        for (i, &backend) in again.iter().enumerate() {
            b.end(id, i as u8 + 1, backend, Outcome::Ok);
        }
        b.now += 100 * MS;
    }
}

/// Guards against a limit for all: what is late at one service would have the other's requests rejected.
#[test]
fn an_overload_of_one_service_leaves_the_capacity_of_the_other() {
    let mut b = Harness::new(two_services(), &fleets());
    let (mut refusals, mut id) = ([0, 0], 0);
    // Service 0 answers nothing; service 1 answers at once.
    for _ in 0..400 {
        for class in [0u16, 1] {
            id += 1;
            let out = b.request(id, class, 1.0);
            refusals[usize::from(class)] += usize::from(rejected(&out));
            if class == 1 {
                sends(&out).iter().for_each(|&backend| drop(b.end(id, 0, backend, Outcome::Ok)));
            }
        }
        b.tick_until(b.now + 5 * MS);
    }
    assert!(refusals[0] > 100, "{refusals:?}");
    assert_eq!(refusals[1], 0);
}

#[test]
fn the_bucket_and_the_ceiling_are_one_over_all_services() {
    let mut settings = two_services();
    settings.plans[0] =
        Plan { rate: 10.0, burst: 10.0, ceiling_rate: 20.0, ceiling_burst: 20.0, ..Plan::default() };
    let mut b = Harness::new(settings, &fleets());
    b.tick_until(5 * SECOND);
    let mut admitted = 0.0;
    for id in 0..40 {
        let out = b.request(id, (id % 2) as u16, 1.0);
        for backend in sends(&out) {
            admitted += 1.0;
            b.end(id, 0, backend, Outcome::Ok);
        }
    }
    // A second's worth and no more, however it is spread.
    assert_eq!(admitted, 10.0);
}

#[test]
fn a_service_without_backends_rejects_and_the_other_serves() {
    let only: Vec<BackendEntry> = fleets().into_iter().filter(|e| e.service == 1).collect();
    let mut b = Harness::new(two_services(), &only);
    assert!(rejected(&b.request(1, 0, 1.0)));
    assert_eq!(sends(&b.request(2, 1, 1.0)).len(), 1);
}

fn shares(sizes: &[f64], weighted: bool, at_once: usize) -> Vec<f64> {
    let settings = Settings { weighted_backends: weighted, plans: vec![Plan::default()], ..one_gateway() };
    let entries: Vec<BackendEntry> = backends(sizes.len() as u32)
        .into_iter()
        .zip(sizes)
        .map(|(e, &size)| BackendEntry { size, ..e })
        .collect();
    let mut b = Harness::new(settings, &entries);
    let mut counts = vec![0.0; sizes.len()];
    let mut open = std::collections::VecDeque::new();
    for id in 0..3_000 {
        for backend in sends(&b.request(id, 0, 1.0)) {
            counts[backend as usize - 1] += 1.0;
            open.push_back((id, backend));
        }
        if open.len() >= at_once
            && let Some((id, backend)) = open.pop_front()
        {
            b.end(id, 0, backend, Outcome::Ok);
        }
        b.tick_until(b.now + 10 * MS);
    }
    counts
}

#[test]
fn work_goes_by_size_at_low_load_and_at_high() {
    for at_once in [1, 6] {
        let counts = shares(&[0.5, 1.0, 1.5], true, at_once);
        let (two, three) = (counts[1] / counts[0], counts[2] / counts[0]);
        assert!((1.7..2.3).contains(&two) && (2.6..3.4).contains(&three), "{at_once}: {counts:?}");
    }
}

#[test]
fn sizes_change_nothing_where_weighting_is_off_or_all_are_equal() {
    assert_eq!(shares(&[0.5, 1.0, 1.5], false, 1), shares(&[1.0; 3], false, 1));
    assert_eq!(shares(&[2.0; 3], true, 1), shares(&[1.0; 3], false, 1));
    assert!(shares(&[f64::NAN, 1.0, 1e9], true, 1).iter().all(|&n| n > 0.0), "none is left out for good");
}
