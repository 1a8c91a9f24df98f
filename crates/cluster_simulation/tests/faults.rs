//! Faults of a simulated cluster. The same rules hold in each: no run starts twice, and no two runs in a row are missed while
//! the store is reachable.

use cluster_simulation::{Simulation, SimulationConfig, StoreFault};

const PERIOD_MS: u64 = 1_000;

/// A cluster that has settled.
fn settled(config: SimulationConfig) -> Simulation {
    let mut simulation = Simulation::new(config);
    simulation.advance(6 * PERIOD_MS);
    simulation.take_longest_gap();
    simulation
}

fn assert_runs(simulation: &mut Simulation, max_gap: u64, what: &str) {
    let counts = simulation.counts();
    assert_eq!(counts.repeated_runs, 0, "{what}: {counts:?}");
    let gap = simulation.take_longest_gap();
    assert!(gap <= max_gap, "{what}: {gap} runs missed in a row, {counts:?}");
}

fn config(seed: u64) -> SimulationConfig {
    SimulationConfig {
        instances: 8,
        jobs: 64,
        standbys: 7,
        period_ms: PERIOD_MS,
        rng_seed: seed,
        ..SimulationConfig::default()
    }
}

#[test]
fn in_normal_operation_each_run_costs_one_write_and_a_read_for_each_standby() {
    let mut simulation = settled(config(1));
    let before = simulation.counts();
    simulation.advance(20 * PERIOD_MS);
    let after = simulation.counts();
    // A run at either end may fall to the other side of it.
    assert!((after.runs - before.runs).abs_diff(20 * 64) <= 8, "{} runs", after.runs - before.runs);
    assert!(after.writes - before.writes <= 20 * 64 + 8);
    assert_runs(&mut simulation, 0, "calm");
}

#[test]
fn half_of_the_instances_die_at_once() {
    for seed in 1..=5 {
        let mut simulation = settled(config(seed));
        (0..4).for_each(|i| simulation.kill(i));
        simulation.advance(10 * PERIOD_MS);
        assert_runs(&mut simulation, 1, "half killed");
        assert_eq!(simulation.instances_seeing(4), 4);
        (0..4).for_each(|i| simulation.start(i));
        simulation.advance(10 * PERIOD_MS);
        assert_runs(&mut simulation, 1, "half back under the same names");
        assert_eq!(simulation.instances_seeing(8), 8);
    }
}

#[test]
fn paused_instances_that_resume_run_nothing_that_was_taken_over() {
    for seed in 1..=5 {
        let mut simulation = settled(config(seed));
        for paused in [&[1][..], &[2, 3]] {
            paused.iter().for_each(|&i| simulation.pause(i));
            simulation.advance(12 * PERIOD_MS + seed * 37);
            paused.iter().for_each(|&i| simulation.resume(i));
            simulation.advance(6 * PERIOD_MS);
        }
        assert_runs(&mut simulation, 1, "paused");
    }
}

#[test]
fn a_stall_between_a_write_and_its_response_runs_nothing_late() {
    let mut simulation = settled(config(3));
    let mut late = 0;
    for turn in 0..200 {
        // Anywhere in the period, for a little more than one.
        simulation.advance(PERIOD_MS / 7 + turn % 13);
        let i = turn as usize % 8;
        simulation.pause(i);
        simulation.advance(PERIOD_MS + 50);
        simulation.resume(i);
    }
    late += simulation
        .notices()
        .iter()
        .filter(|n| matches!(n, periodic_jobs::Notice::AcquiredTooLate { .. }))
        .count();
    assert!(late > 0, "the case did not arise");
    assert_runs(&mut simulation, 1, "stalls");
}

#[test]
fn while_the_store_is_unresponsive_nothing_runs_and_when_it_is_back_empty_all_do_within_two_periods() {
    for seed in 1..=5 {
        let mut simulation = settled(config(seed));
        simulation.set_store_fault(StoreFault::Unresponsive);
        simulation.advance(200);
        let before = simulation.counts().runs;
        simulation.advance(10 * PERIOD_MS);
        assert_eq!(simulation.counts().runs, before);
        simulation.set_store_fault(StoreFault::None);
        simulation.restart_store_empty();
        simulation.take_longest_gap();
        let before = simulation.counts().runs;
        simulation.advance(2 * PERIOD_MS);
        assert!(
            simulation.counts().runs - before >= 64,
            "{} of 64 run again",
            simulation.counts().runs - before
        );
        simulation.take_longest_gap();
        simulation.advance(10 * PERIOD_MS);
        assert_runs(&mut simulation, 1, "after the outage");
    }
}

#[test]
fn a_store_emptied_at_any_moment_and_clocks_300_ms_apart_start_no_run_twice() {
    for seed in 1..=10 {
        let mut simulation = settled(SimulationConfig { max_clock_skew_ms: 300, ..config(seed) });
        for turn in 0..15 {
            simulation.advance(PERIOD_MS / 3 + turn * 71);
            simulation.restart_store_empty();
        }
        simulation.advance(4 * PERIOD_MS);
        assert_eq!(simulation.counts().repeated_runs, 0);
        simulation.take_longest_gap();
        simulation.advance(10 * PERIOD_MS);
        assert_runs(&mut simulation, 1, "clocks apart");
    }
}

#[test]
fn a_partition_costs_no_run_whether_the_store_is_reachable_from_both_sides_or_from_one() {
    for seed in 1..=3 {
        let mut simulation = settled(config(seed));
        simulation.partition(|i| u8::from(i < 4), [true, true]);
        simulation.advance(10 * PERIOD_MS);
        assert_eq!(simulation.instances_seeing(4), 8);
        assert_runs(&mut simulation, 1, "both sides");
        simulation.partition(|i| u8::from(i < 4), [true, false]);
        simulation.advance(10 * PERIOD_MS);
        assert_runs(&mut simulation, 1, "one side");
        simulation.partition(|_| 0, [true, true]);
        simulation.advance(10 * PERIOD_MS);
        assert_runs(&mut simulation, 1, "healed");
        assert_eq!(simulation.instances_seeing(8), 8);
    }
}

#[test]
fn lost_responses_to_writes_cost_no_run() {
    let mut simulation = settled(config(4));
    simulation.lose_responses(200);
    simulation.advance(10 * PERIOD_MS);
    assert!(simulation.notices().iter().any(|n| matches!(n, periodic_jobs::Notice::LeaseRecovered { .. })));
    assert_runs(&mut simulation, 0, "lost answers");
}

#[test]
fn a_tenth_of_all_datagrams_lost_changes_nothing() {
    let mut simulation =
        settled(SimulationConfig { datagram_loss: 0.1, instances: 30, jobs: 300, standbys: 4, ..config(5) });
    assert_eq!(simulation.instances_seeing(30), 30);
    (0..15).for_each(|i| simulation.kill(i));
    simulation.advance(4 * PERIOD_MS);
    simulation.take_longest_gap();
    simulation.advance(8 * PERIOD_MS);
    // A member that missed the update of a failure finds it out by its own probes: 30 members at 0.4 s, twice at most.
    let agreed = (0..240).any(|_| {
        simulation.advance(100);
        simulation.instances_seeing(15) == 15
    });
    assert!(agreed, "{:?}", simulation.views());
    assert_runs(&mut simulation, 1, "loss");
}

#[test]
fn the_same_seed_gives_the_same_course() {
    let course = || {
        let mut simulation =
            settled(SimulationConfig { datagram_loss: 0.1, max_clock_skew_ms: 100, ..config(9) });
        simulation.kill(3);
        simulation.advance(5 * PERIOD_MS);
        format!("{:?}", simulation.counts())
    };
    assert_eq!(course(), course());
}
