//! The hard cases of shared duties in simulated time. Each holds the same rules: no round twice, and no two rounds in a
//! row missed while the store is reachable.

use cluster_simulation::{Fault, Site, World};

const PERIOD: u64 = 1_000;

/// A cluster that has settled.
fn world(site: Site) -> World {
    let mut world = World::new(site);
    world.pass(6 * PERIOD);
    world.worst_gap();
    world
}

fn holds(world: &mut World, most: u64, what: &str) {
    let counts = world.counts();
    assert_eq!(counts.doubles, 0, "{what}: {counts:?}");
    let gap = world.worst_gap();
    assert!(gap <= most, "{what}: {gap} rounds missed in a row, {counts:?}");
}

fn site(seed: u64) -> Site {
    Site { instances: 8, duties: 64, standbys: 7, period: PERIOD, seed, ..Site::default() }
}

#[test]
fn on_calm_days_each_round_runs_at_one_claim_and_a_read_for_each_standby() {
    let mut world = world(site(1));
    let before = world.counts();
    world.pass(20 * PERIOD);
    let after = world.counts();
    // A round at either end may fall to the other side of it.
    assert!((after.runs - before.runs).abs_diff(20 * 64) <= 8, "{} runs", after.runs - before.runs);
    assert!(after.claims.0 - before.claims.0 <= 20 * 64 + 8);
    holds(&mut world, 0, "calm");
}

#[test]
fn half_of_the_instances_die_at_once() {
    for seed in 1..=5 {
        let mut world = world(site(seed));
        (0..4).for_each(|i| world.kill(i));
        world.pass(10 * PERIOD);
        holds(&mut world, 1, "half killed");
        assert_eq!(world.seeing(4), 4);
        (0..4).for_each(|i| world.start(i));
        world.pass(10 * PERIOD);
        holds(&mut world, 1, "half back under the same names");
        assert_eq!(world.seeing(8), 8);
    }
}

#[test]
fn one_or_two_that_pause_and_continue_run_nothing_that_was_taken_over() {
    for seed in 1..=5 {
        let mut world = world(site(seed));
        for paused in [&[1][..], &[2, 3]] {
            paused.iter().for_each(|&i| world.pause(i));
            world.pass(12 * PERIOD + seed * 37);
            paused.iter().for_each(|&i| world.go_on(i));
            world.pass(6 * PERIOD);
        }
        holds(&mut world, 1, "paused");
    }
}

#[test]
fn a_stall_between_a_claim_and_its_answer_runs_nothing_late() {
    let mut world = world(site(3));
    let mut late = 0;
    for turn in 0..200 {
        // Anywhere in the period, for a little more than one.
        world.pass(PERIOD / 7 + turn % 13);
        let i = turn as usize % 8;
        world.pause(i);
        world.pass(PERIOD + 50);
        world.go_on(i);
    }
    late +=
        world.notices.iter().filter(|n| matches!(n, periodic_jobs::Notice::AcquiredTooLate { .. })).count();
    assert!(late > 0, "the case did not arise");
    holds(&mut world, 1, "stalls");
}

#[test]
fn while_the_store_is_silent_nothing_runs_and_when_it_is_back_empty_all_do_within_two_periods() {
    for seed in 1..=5 {
        let mut world = world(site(seed));
        world.fail(Fault::Silent);
        world.pass(200);
        let before = world.counts().runs;
        world.pass(10 * PERIOD);
        assert_eq!(world.counts().runs, before);
        world.fail(Fault::None);
        world.restart_store_empty();
        world.worst_gap();
        let before = world.counts().runs;
        world.pass(2 * PERIOD);
        assert!(world.counts().runs - before >= 64, "{} of 64 run again", world.counts().runs - before);
        world.worst_gap();
        world.pass(10 * PERIOD);
        holds(&mut world, 1, "after the outage");
    }
}

#[test]
fn a_store_emptied_at_any_moment_and_clocks_300_ms_apart_run_no_round_twice() {
    for seed in 1..=10 {
        let mut world = world(Site { skew: 300, ..site(seed) });
        for turn in 0..15 {
            world.pass(PERIOD / 3 + turn * 71);
            world.restart_store_empty();
        }
        world.pass(4 * PERIOD);
        assert_eq!(world.counts().doubles, 0);
        world.worst_gap();
        world.pass(10 * PERIOD);
        holds(&mut world, 1, "clocks apart");
    }
}

#[test]
fn a_split_costs_no_round_whether_the_store_is_reached_from_both_sides_or_from_one() {
    for seed in 1..=3 {
        let mut world = world(site(seed));
        world.split(|i| u8::from(i < 4), [true, true]);
        world.pass(10 * PERIOD);
        assert_eq!(world.seeing(4), 8);
        holds(&mut world, 1, "both sides");
        world.split(|i| u8::from(i < 4), [true, false]);
        world.pass(10 * PERIOD);
        holds(&mut world, 1, "one side");
        world.split(|_| 0, [true, true]);
        world.pass(10 * PERIOD);
        holds(&mut world, 1, "healed");
        assert_eq!(world.seeing(8), 8);
    }
}

#[test]
fn answers_to_claims_that_are_lost_cost_no_round() {
    let mut world = world(site(4));
    world.lose_answers(200);
    world.pass(10 * PERIOD);
    assert!(world.notices.iter().any(|n| matches!(n, periodic_jobs::Notice::LeaseRecovered { .. })));
    holds(&mut world, 0, "lost answers");
}

#[test]
fn a_tenth_of_all_datagrams_lost_changes_nothing() {
    let mut world = world(Site { loss: 0.1, instances: 30, duties: 300, standbys: 4, ..site(5) });
    assert_eq!(world.seeing(30), 30);
    (0..15).for_each(|i| world.kill(i));
    world.pass(4 * PERIOD);
    world.worst_gap();
    world.pass(8 * PERIOD);
    // Who missed the news of a death finds it out by its own round of questions: 30 members at 0.4 s, twice at most.
    let agreed = (0..240).any(|_| {
        world.pass(100);
        world.seeing(15) == 15
    });
    assert!(agreed, "{:?}", world.views());
    holds(&mut world, 1, "loss");
}

#[test]
fn the_same_seed_gives_the_same_course() {
    let course = || {
        let mut world = world(Site { loss: 0.1, skew: 100, ..site(9) });
        world.kill(3);
        world.pass(5 * PERIOD);
        format!("{:?}", world.counts())
    };
    assert_eq!(course(), course());
}
