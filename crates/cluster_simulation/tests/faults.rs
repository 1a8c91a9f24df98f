//! Faults in a simulated cluster. In all cases no run starts twice, and no job misses two consecutive runs while the store is
//! reachable.

use cluster_simulation::{Simulation, SimulationConfig, StoreAccess, StoreFault};
use periodic_jobs::Notice;
use std::time::Duration;

const JOB_PERIOD: Duration = Duration::from_secs(1);

/// Starts a cluster and advances the time until its members know each other and its jobs run.
fn start_cluster(config: SimulationConfig) -> Simulation {
    let mut simulation = Simulation::new(config);
    simulation.advance(6 * JOB_PERIOD);
    simulation.take_longest_gap();
    simulation
}

/// Asserts that no run started twice and that no job missed more than `max_gap` consecutive runs since the last call.
fn assert_runs(simulation: &mut Simulation, max_gap: u64, stage: &str) {
    let counts = simulation.counts();
    assert_eq!(counts.repeated_runs, 0, "{stage}: {counts:?}");
    let gap = simulation.take_longest_gap();
    assert!(gap <= max_gap, "{stage}: {gap} runs missed in a row, {counts:?}");
}

fn config(seed: u64) -> SimulationConfig {
    SimulationConfig {
        instances: 8,
        jobs: 64,
        standbys: 7,
        job_period: JOB_PERIOD,
        rng_seed: seed,
        ..SimulationConfig::default()
    }
}

#[test]
fn without_faults_each_run_costs_one_write() {
    let mut simulation = start_cluster(config(1));
    let before = simulation.counts();
    simulation.advance(20 * JOB_PERIOD);
    let after = simulation.counts();
    // Some runs at the start and the end of the interval may fall outside it.
    assert!((after.runs - before.runs).abs_diff(20 * 64) <= 8, "{} runs", after.runs - before.runs);
    assert!(after.writes - before.writes <= 20 * 64 + 8);
    assert_runs(&mut simulation, 0, "without faults");
}

#[test]
fn no_job_misses_two_consecutive_runs_when_half_of_the_instances_are_killed_and_restarted() {
    for seed in 1..=5 {
        let mut simulation = start_cluster(config(seed));
        (0..4).for_each(|i| simulation.kill(i));
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "half killed");
        assert_eq!(simulation.instances_seeing(4), 4);
        (0..4).for_each(|i| simulation.start(i));
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "half restarted under the same names");
        assert_eq!(simulation.instances_seeing(8), 8);
    }
}

#[test]
fn resumed_instances_do_not_repeat_runs_that_others_took_over() {
    for seed in 1..=5 {
        let mut simulation = start_cluster(config(seed));
        for paused in [&[1][..], &[2, 3]] {
            paused.iter().for_each(|&i| simulation.pause(i));
            simulation.advance(12 * JOB_PERIOD + Duration::from_millis(seed * 37));
            paused.iter().for_each(|&i| simulation.resume(i));
            simulation.advance(6 * JOB_PERIOD);
        }
        assert_runs(&mut simulation, 1, "after pauses of one and of two instances");
    }
}

#[test]
fn a_pause_between_a_write_and_its_response_starts_no_late_run() {
    let mut simulation = start_cluster(config(3));
    for round in 0..200 {
        // The pauses start at varying offsets within the period and last slightly longer than a period.
        simulation.advance(JOB_PERIOD / 7 + Duration::from_millis(round % 13));
        let instance = round as usize % 8;
        simulation.pause(instance);
        simulation.advance(JOB_PERIOD + Duration::from_millis(50));
        simulation.resume(instance);
    }
    let is_late = |notice: &Notice| matches!(notice, Notice::AcquiredTooLate { .. });
    assert!(simulation.notices().iter().any(is_late), "no run was acquired too late");
    assert_runs(&mut simulation, 1, "after pauses slightly longer than a period");
}

#[test]
fn no_run_starts_while_the_store_is_unresponsive_and_all_jobs_run_within_two_periods_of_its_restart() {
    for seed in 1..=5 {
        let mut simulation = start_cluster(config(seed));
        simulation.set_store_fault(StoreFault::Unresponsive);
        simulation.advance(Duration::from_millis(200));
        let before = simulation.counts().runs;
        simulation.advance(10 * JOB_PERIOD);
        assert_eq!(simulation.counts().runs, before);
        simulation.set_store_fault(StoreFault::None);
        simulation.restart_store_empty();
        simulation.take_longest_gap();
        let before = simulation.counts().runs;
        simulation.advance(2 * JOB_PERIOD);
        let runs = simulation.counts().runs - before;
        assert!(runs >= 64, "{runs} runs of 64 jobs after the restart of the store");
        simulation.take_longest_gap();
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "after the outage");
    }
}

#[test]
fn no_run_starts_twice_with_repeated_data_loss_and_a_clock_skew_of_300_ms() {
    for seed in 1..=10 {
        let mut simulation =
            start_cluster(SimulationConfig { max_clock_skew: Duration::from_millis(300), ..config(seed) });
        for restart in 0..15 {
            simulation.advance(JOB_PERIOD / 3 + Duration::from_millis(restart * 71));
            simulation.restart_store_empty();
        }
        simulation.advance(4 * JOB_PERIOD);
        assert_eq!(simulation.counts().repeated_runs, 0);
        simulation.take_longest_gap();
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "after data losses with clock skew");
    }
}

#[test]
fn no_job_misses_two_consecutive_runs_in_a_partition_with_the_store_reachable_from_one_or_both_sides() {
    for seed in 1..=3 {
        let mut simulation = start_cluster(config(seed));
        simulation.partition(0..4, StoreAccess::BothSides);
        simulation.advance(10 * JOB_PERIOD);
        assert_eq!(simulation.instances_seeing(4), 8);
        assert_runs(&mut simulation, 1, "partitioned, store reachable from both sides");
        simulation.partition(0..4, StoreAccess::OtherSide);
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "partitioned, store reachable from one side");
        simulation.heal();
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "partition healed");
        assert_eq!(simulation.instances_seeing(8), 8);
    }
}

#[test]
fn lost_responses_to_writes_cause_no_missed_run() {
    let mut simulation = start_cluster(config(4));
    simulation.lose_responses(200);
    simulation.advance(10 * JOB_PERIOD);
    let is_recovered = |notice: &Notice| matches!(notice, Notice::LeaseRecovered { .. });
    assert!(simulation.notices().iter().any(is_recovered));
    assert_runs(&mut simulation, 0, "with lost responses");
}

#[test]
fn members_agree_and_no_job_misses_two_consecutive_runs_with_a_datagram_loss_of_10_percent() {
    let mut simulation = start_cluster(SimulationConfig {
        datagram_loss_probability: 0.1,
        instances: 30,
        jobs: 300,
        standbys: 4,
        ..config(5)
    });
    assert_eq!(simulation.instances_seeing(30), 30);
    (0..15).for_each(|i| simulation.kill(i));
    simulation.advance(4 * JOB_PERIOD);
    simulation.take_longest_gap();
    simulation.advance(8 * JOB_PERIOD);
    // A member that missed the gossip about a failure detects it by its own probes. It probes one member each 0.4 s, so that it
    // probes all 30 members at most twice in the 24 s.
    let agreed = (0..240).any(|_| {
        simulation.advance(Duration::from_millis(100));
        simulation.instances_seeing(15) == 15
    });
    assert!(agreed, "the members do not agree: {:?}", simulation.views());
    assert_runs(&mut simulation, 1, "with datagram loss");
}

#[test]
fn the_same_seed_gives_the_same_counters() {
    let counters = || {
        let mut simulation = start_cluster(SimulationConfig {
            datagram_loss_probability: 0.1,
            max_clock_skew: Duration::from_millis(100),
            ..config(9)
        });
        simulation.kill(3);
        simulation.advance(5 * JOB_PERIOD);
        format!("{:?}", simulation.counts())
    };
    assert_eq!(counters(), counters());
}
