//! Simulated a hundred gatekeepers do together: each of these is harmless at one gatekeeper and harmful as a sum.

#![allow(clippy::too_many_lines, clippy::unwrap_used)]

mod common;
#[path = "common/fleet.rs"]
mod fleet;
use common::*;
use fleet::{Fleet, Shape};
use policy::Policy;
use policy::*;

/// 60 backends that carry 11.6 requests a second each, and a hundred gatekeepers that are requested this part of that.
fn hundred(load: f64, seed: u64) -> Fleet {
    let work = 172.0 * MS as f64;
    let rate = load * 60.0 * 2.0 * SECOND as f64 / work;
    Fleet::new(Shape { gatekeepers: 100, servers: 60, rate, work, busiest: 1.0, overload: 4.0, seed })
}

/// Each gatekeeper once held a connection to every backend, and knew each from one answer in ten seconds.
#[test]
fn each_gatekeeper_prefers_a_few_backends_and_all_backends_are_used() {
    for seed in 0..3 {
        let mut fleet = hundred(0.5, seed);
        let from = fleet.now;
        fleet.run_until(from + 20 * SECOND);
        let used = fleet.backends_used(from);
        assert!(used < 15.0, "seed {seed}: {used} backends for each gatekeeper");
        let mut sent = std::collections::BTreeMap::new();
        fleet.sends.iter().for_each(|s| *sent.entry(s.2).or_insert(0) += 1);
        assert_eq!(sent.len(), 60, "seed {seed}: a backend that nobody keeps to");
        let [came, good, _] = fleet.tally;
        assert!(good as f64 > 0.9 * came as f64, "seed {seed}: {good} of {came} in time");
    }
}

/// A backend that is_silent costs each gatekeeper its first request to it, so few may get to know it the hard way.
#[test]
fn silent_backends_cost_few_gatekeepers_anything() {
    for seed in 0..3 {
        let mut fleet = hundred(0.5, seed);
        (1..=6).for_each(|id| fleet.servers.get_mut(&id).expect("there").is_silent = true);
        let from = fleet.now;
        fleet.run_until(from + 20 * SECOND);
        let lost = fleet.sends.iter().filter(|s| s.2 <= 6).count();
        assert!(lost < 250, "seed {seed}: {lost} sends were swallowed");
    }
}

/// Six in ten are replaced at once. Simulated all send to each cold one stays under the rule, and is still enough to carry work.
#[test]
fn tens_of_backends_in_slow_start_are_used_and_never_overloaded() {
    for seed in 0..3 {
        let mut fleet = hundred(0.6, seed);
        let from = fleet.now;
        fleet.run_until(from + 8 * SECOND);
        let cold = fleet.replace(&(1..=36).collect::<Vec<_>>());
        fleet.run_until(from + 20 * SECOND);
        let worst = cold.iter().map(|&id| fleet.slow_start_budget_used(id)).fold(0.0, f64::max);
        assert!(worst < 1.0, "seed {seed}: {worst} of the budget in a window");
        let used = fleet.sends.iter().filter(|s| cold.contains(&s.2)).count();
        assert!(used > 1_000, "seed {seed}: {used} sends to the cold ones in 12 s");
    }
}

/// The rule counts what all send together, however many they are and however unevenly they are asked: a busy gatekeeper must not
/// take its own share of the traffic for everybody's.
#[test]
fn few_or_many_gatekeepers_with_uneven_traffic_do_not_overload_backends_in_slow_start() {
    for (gatekeepers, servers, seeds) in [(1, 6, 4), (3, 8, 4), (30, 30, 2), (300, 100, 1)] {
        for seed in 0..seeds {
            let work = 172.0 * MS as f64;
            let rate = 0.8 * f64::from(servers) * 2.0 * SECOND as f64 / work;
            let mut fleet =
                Fleet::new(Shape { gatekeepers, servers, rate, work, busiest: 6.0, overload: 2.0, seed });
            let from = fleet.now;
            fleet.run_until(from + 4 * SECOND);
            let cold = fleet.replace(&(1..=servers / 2).collect::<Vec<_>>());
            fleet.run_until(from + 13 * SECOND);
            let worst = cold.iter().map(|&id| fleet.slow_start_excess(id)).fold(0.0, f64::max);
            let used = fleet.sends.iter().filter(|s| cold.contains(&s.2)).count();
            // A quarter of what counts as chance: more would show in days of many windows.
            assert!(
                worst <= 0.25,
                "{gatekeepers} gatekeepers, seed {seed}: {worst} of what is chance beyond the budget"
            );
            assert!(
                used > 5 * servers as usize,
                "{gatekeepers} gatekeepers, seed {seed}: {used} sends to the cold ones"
            );
        }
    }
}
