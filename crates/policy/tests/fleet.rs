//! Tests of fleet-wide effects: behaviour that is harmless at one gatekeeper but harmful when many
//! gatekeepers do the same.

mod common;
#[path = "common/fleet.rs"]
mod fleet;
use common::*;
use fleet::{Fleet, FleetParameters};
use policy::Policy;
use policy::*;
use std::collections::BTreeMap;

/// Mean service time of a request in microseconds.
const MEAN_WORK: f64 = 172.0 * MS as f64;

/// Capacity of this many warm backends with two cores each, in requests a second.
fn capacity(backends: u32) -> f64 {
    f64::from(backends) * 2.0 * SECOND as f64 / MEAN_WORK
}

/// A hundred gatekeepers and 60 backends that can serve 11.6 requests a second each. `load` is the request
/// rate as a fraction of the capacity of all backends.
fn fleet_of_hundred(load: f64, seed: u64) -> Fleet {
    Fleet::new(FleetParameters {
        gatekeepers: 100,
        backends: 60,
        request_rate: load * capacity(60),
        mean_work: MEAN_WORK,
        busy_traffic_factor: 1.0,
        overload_factor: 4.0,
        seed,
    })
}

/// Regression: each gatekeeper held a connection to every backend, and had only one answer in ten seconds
/// from each to estimate its latency.
#[test]
fn each_gatekeeper_prefers_a_few_backends_and_all_backends_are_used() {
    for seed in 0..3 {
        let mut fleet = fleet_of_hundred(0.5, seed);
        let start = fleet.now;

        fleet.run_until(start + 20 * SECOND);

        let used = fleet.mean_backends_used(start);
        assert!(used < 15.0, "seed {seed}: {used} backends for each gatekeeper");
        let mut sent_by_backend = BTreeMap::new();
        fleet.sent_attempts.iter().for_each(|sent| *sent_by_backend.entry(sent.backend).or_insert(0) += 1);
        assert_eq!(sent_by_backend.len(), 60, "seed {seed}: a backend that no gatekeeper prefers");
        let (arrived, in_time) = (fleet.counts.arrived, fleet.counts.answered_in_time);
        assert!(in_time as f64 > 0.9 * arrived as f64, "seed {seed}: {in_time} of {arrived} in time");
    }
}

/// Each gatekeeper that sends to a silent backend loses its first request there, so only a few gatekeepers
/// may send to any one backend.
#[test]
fn silent_backends_cost_few_gatekeepers_anything() {
    let silent: Vec<u32> = (1..=6).collect();
    for seed in 0..3 {
        let mut fleet = fleet_of_hundred(0.5, seed);
        for id in &silent {
            fleet.backends.get_mut(id).expect("the backend exists").is_silent = true;
        }
        let start = fleet.now;

        fleet.run_until(start + 20 * SECOND);

        let lost = fleet.attempts_sent_to(&silent);
        assert!(lost < 250, "seed {seed}: {lost} attempts sent to silent backends");
    }
}

/// Six in ten backends are replaced at once. The attempts of all gatekeepers at each new backend stay within
/// the overload rule, and are still enough to use its capacity.
#[test]
fn tens_of_backends_in_slow_start_are_used_and_never_overloaded() {
    for seed in 0..3 {
        let mut fleet = fleet_of_hundred(0.6, seed);
        let start = fleet.now;
        fleet.run_until(start + 8 * SECOND);

        let restarted = fleet.replace_backends(&(1..=36).collect::<Vec<_>>());
        fleet.run_until(start + 20 * SECOND);

        let worst = restarted.iter().map(|&id| fleet.max_slow_start_budget_fraction(id)).fold(0.0, f64::max);
        assert!(worst < 1.0, "seed {seed}: a backend was sent {worst} of its budget in a window");
        let sent = fleet.attempts_sent_to(&restarted);
        assert!(sent > 1_000, "seed {seed}: {sent} attempts sent to backends in slow start in 12 s");
    }
}

/// The overload rule applies to the sum over all gatekeepers, however many there are and however uneven their
/// traffic is: a busy gatekeeper must not extrapolate its own share of the traffic to the fleet.
#[test]
fn few_or_many_gatekeepers_with_uneven_traffic_do_not_overload_backends_in_slow_start() {
    for (gatekeepers, backends, seeds) in [(1, 6, 4), (3, 8, 4), (30, 30, 2), (300, 100, 1)] {
        for seed in 0..seeds {
            let case = format!("{gatekeepers} gatekeepers, seed {seed}");
            let mut fleet = Fleet::new(FleetParameters {
                gatekeepers,
                backends,
                request_rate: 0.8 * capacity(backends),
                mean_work: MEAN_WORK,
                busy_traffic_factor: 6.0,
                overload_factor: 2.0,
                seed,
            });
            let start = fleet.now;
            fleet.run_until(start + 4 * SECOND);

            let restarted = fleet.replace_backends(&(1..=backends / 2).collect::<Vec<_>>());
            fleet.run_until(start + 13 * SECOND);

            let worst =
                restarted.iter().map(|&id| fleet.max_slow_start_budget_excess(id)).fold(0.0, f64::max);
            // The bound is a quarter of the tolerance for random variation, because over days, with many more
            // windows, the largest excess is larger.
            assert!(
                worst <= 0.25,
                "{case}: a backend was sent {worst} of the tolerance more than its budget"
            );
            let sent = fleet.attempts_sent_to(&restarted);
            assert!(sent > 5 * backends as usize, "{case}: {sent} attempts sent to backends in slow start");
        }
    }
}
