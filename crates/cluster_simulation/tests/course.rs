//! Regression test of whole simulations with fixed seeds: the counters equal the recorded ones. They depend on the versions of
//! `foca` and `rand` in `Cargo.lock`, so that a new version requires a new recording.

use cluster_simulation::{Simulation, SimulationConfig, StoreAccess, StoreFault};
use std::time::Duration;

const RECORDED_COUNTERS: &str = include_str!("fixtures/course.txt");

/// Formats the counters as a line of the recording.
fn counter_line(simulation: &mut Simulation, stage: &str) -> String {
    let counts = simulation.counts();
    let gap = simulation.take_longest_gap();
    format!(
        "{stage}: {} writes, {} applied, {} reads, {} datagrams of {} bytes, {} runs, {} repeated, {} late, {gap} missed in a row\n",
        counts.writes,
        counts.writes_applied,
        counts.reads,
        counts.datagrams,
        counts.datagram_bytes,
        counts.runs,
        counts.repeated_runs,
        counts.late_runs
    )
}

#[test]
fn simulations_with_fixed_seeds_give_the_recorded_counters() {
    let mut text = String::new();
    for seed in 1..=3 {
        let config = SimulationConfig {
            instances: 8,
            jobs: 32,
            standbys: 4,
            job_period: Duration::from_secs(1),
            max_clock_skew: Duration::from_millis(100),
            datagram_loss_probability: 0.1,
            rng_seed: seed,
            ..SimulationConfig::default()
        };
        let mut simulation = Simulation::new(config);
        simulation.advance(Duration::from_secs(6));
        text += &counter_line(&mut simulation, &format!("seed {seed}, started"));
        (0..4).for_each(|i| simulation.kill(i));
        simulation.advance(Duration::from_secs(6));
        text += &counter_line(&mut simulation, "half killed");
        (0..4).for_each(|i| simulation.start(i));
        simulation.pause(5);
        simulation.advance(Duration::from_secs(4));
        simulation.resume(5);
        simulation.advance(Duration::from_secs(3));
        text += &counter_line(&mut simulation, "started again, one paused");
        simulation.partition(0..4, StoreAccess::OtherSide);
        simulation.advance(Duration::from_secs(5));
        text += &counter_line(&mut simulation, "partitioned");
        simulation.heal();
        simulation.lose_responses(20);
        simulation.advance(Duration::from_secs(4));
        text += &counter_line(&mut simulation, "healed, responses lost");
        simulation.set_store_fault(StoreFault::Unresponsive);
        simulation.advance(Duration::from_secs(3));
        simulation.set_store_fault(StoreFault::ResponsesLost);
        simulation.advance(Duration::from_secs(2));
        simulation.set_store_fault(StoreFault::None);
        simulation.restart_store_empty();
        simulation.advance(Duration::from_secs(5));
        text += &counter_line(&mut simulation, "store emptied");
    }
    assert_eq!(text, RECORDED_COUNTERS);
}
