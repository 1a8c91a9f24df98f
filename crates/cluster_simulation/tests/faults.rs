//! Faults in a simulated cluster. In each case no run starts twice, and no job misses two consecutive runs while the store is
//! reachable.

use cluster_simulation::{Simulation, SimulationConfig, StoreAccess, StoreFault};
use periodic_jobs::Notice;
use std::time::Duration;

const JOB_PERIOD: Duration = Duration::from_secs(1);

/// A cluster whose members know each other and whose jobs run.
fn settled(config: SimulationConfig) -> Simulation {
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
    let mut simulation = settled(config(1));
    let before = simulation.counts();
    simulation.advance(20 * JOB_PERIOD);
    let after = simulation.counts();
    // Runs at either end of the interval may fall outside it.
    assert!((after.runs - before.runs).abs_diff(20 * 64) <= 8, "{} runs", after.runs - before.runs);
    assert!(after.writes - before.writes <= 20 * 64 + 8);
    assert_runs(&mut simulation, 0, "calm");
}

#[test]
fn no_two_runs_are_missed_when_half_of_the_instances_die_and_return() {
    for seed in 1..=5 {
        let mut simulation = settled(config(seed));
        (0..4).for_each(|i| simulation.kill(i));
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "half killed");
        assert_eq!(simulation.instances_seeing(4), 4);
        (0..4).for_each(|i| simulation.start(i));
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "half back under the same names");
        assert_eq!(simulation.instances_seeing(8), 8);
    }
}

#[test]
fn resumed_instances_repeat_no_run_that_others_took_over() {
    for seed in 1..=5 {
        let mut simulation = settled(config(seed));
        for paused in [&[1][..], &[2, 3]] {
            paused.iter().for_each(|&i| simulation.pause(i));
            simulation.advance(12 * JOB_PERIOD + Duration::from_millis(seed * 37));
            paused.iter().for_each(|&i| simulation.resume(i));
            simulation.advance(6 * JOB_PERIOD);
        }
        assert_runs(&mut simulation, 1, "paused");
    }
}

#[test]
fn a_pause_between_a_write_and_its_response_starts_no_late_run() {
    let mut simulation = settled(config(3));
    for round in 0..200 {
        // Pauses start at varying offsets and last slightly longer than a period.
        simulation.advance(JOB_PERIOD / 7 + Duration::from_millis(round % 13));
        let instance = round as usize % 8;
        simulation.pause(instance);
        simulation.advance(JOB_PERIOD + Duration::from_millis(50));
        simulation.resume(instance);
    }
    let is_late = |notice: &Notice| matches!(notice, Notice::AcquiredTooLate { .. });
    assert!(simulation.notices().iter().any(is_late), "no run was acquired too late");
    assert_runs(&mut simulation, 1, "pauses");
}

#[test]
fn no_run_starts_while_the_store_is_unresponsive_and_all_jobs_run_within_two_periods_of_its_restart() {
    for seed in 1..=5 {
        let mut simulation = settled(config(seed));
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
        assert!(runs >= 64, "{runs} of 64 run again");
        simulation.take_longest_gap();
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "after the outage");
    }
}

#[test]
fn no_run_starts_twice_with_repeated_data_loss_and_a_clock_skew_of_300_ms() {
    for seed in 1..=10 {
        let mut simulation =
            settled(SimulationConfig { max_clock_skew: Duration::from_millis(300), ..config(seed) });
        for restart in 0..15 {
            simulation.advance(JOB_PERIOD / 3 + Duration::from_millis(restart * 71));
            simulation.restart_store_empty();
        }
        simulation.advance(4 * JOB_PERIOD);
        assert_eq!(simulation.counts().repeated_runs, 0);
        simulation.take_longest_gap();
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "clock skew");
    }
}

#[test]
fn a_partition_misses_no_two_runs_with_the_store_reachable_from_both_sides_or_one() {
    for seed in 1..=3 {
        let mut simulation = settled(config(seed));
        simulation.partition(0..4, StoreAccess::BothSides);
        simulation.advance(10 * JOB_PERIOD);
        assert_eq!(simulation.instances_seeing(4), 8);
        assert_runs(&mut simulation, 1, "both sides");
        simulation.partition(0..4, StoreAccess::OtherSide);
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "one side");
        simulation.heal();
        simulation.advance(10 * JOB_PERIOD);
        assert_runs(&mut simulation, 1, "healed");
        assert_eq!(simulation.instances_seeing(8), 8);
    }
}

#[test]
fn lost_responses_to_writes_miss_no_run() {
    let mut simulation = settled(config(4));
    simulation.lose_responses(200);
    simulation.advance(10 * JOB_PERIOD);
    let is_recovered = |notice: &Notice| matches!(notice, Notice::LeaseRecovered { .. });
    assert!(simulation.notices().iter().any(is_recovered));
    assert_runs(&mut simulation, 0, "lost responses");
}

#[test]
fn members_agree_and_miss_no_two_runs_with_a_tenth_of_the_datagrams_lost() {
    let mut simulation =
        settled(SimulationConfig { datagram_loss: 0.1, instances: 30, jobs: 300, standbys: 4, ..config(5) });
    assert_eq!(simulation.instances_seeing(30), 30);
    (0..15).for_each(|i| simulation.kill(i));
    simulation.advance(4 * JOB_PERIOD);
    simulation.take_longest_gap();
    simulation.advance(8 * JOB_PERIOD);
    // A member that missed the update about a failure detects it by its own probes: 30 members at 0.4 s, at most twice.
    let agreed = (0..240).any(|_| {
        simulation.advance(Duration::from_millis(100));
        simulation.instances_seeing(15) == 15
    });
    assert!(agreed, "{:?}", simulation.views());
    assert_runs(&mut simulation, 1, "loss");
}

#[test]
fn the_same_seed_gives_the_same_counters() {
    let counters = || {
        let mut simulation = settled(SimulationConfig {
            datagram_loss: 0.1,
            max_clock_skew: Duration::from_millis(100),
            ..config(9)
        });
        simulation.kill(3);
        simulation.advance(5 * JOB_PERIOD);
        format!("{:?}", simulation.counts())
    };
    assert_eq!(counters(), counters());
}
