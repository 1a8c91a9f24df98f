//! Schedules that are generated, named or parsed.

use super::*;
use std::collections::BTreeSet;

#[test]
fn a_seed_gives_the_same_schedule_each_time_and_schedules_round_trip_through_toml() {
    for seed in 0..500 {
        let schedule = Schedule::from_seed(seed, 10_000);
        assert_eq!(schedule, Schedule::from_seed(seed, 10_000));
        assert_eq!(Schedule::parse(&schedule.to_toml()).expect("the schedule can be run"), schedule);
    }
    for schedule in named_schedules() {
        assert_eq!(Schedule::parse(&schedule.to_toml()).expect("the schedule can be run"), schedule);
    }
}

#[test]
fn seeds_reach_each_kind_of_fault() {
    let schedules = (0..2_000).map(|seed| Schedule::from_seed(seed, 10_000));
    let all: BTreeSet<String> = schedules.flat_map(|s| s.faults).map(|fault| fault.kind.name()).collect();
    // Six degradations of links, cuts, flapping links, process faults, three stand-ins with seven failure modes each, disk
    // faults, and upgrades.
    assert!(all.len() >= 40, "{all:?}");
}

#[test]
fn rejects_schedules_that_cannot_be_run() {
    let good = Schedule::from_seed(1, 10_000).to_toml();
    for bad in
        [good.replace("programs = ", "programs = 9"), good.replace("length_ms = 10000", "length_ms = 1")]
    {
        assert!(Schedule::parse(&bad).is_err());
    }
    assert!(Schedule::parse("kind = 1").is_err());
}

#[test]
fn errors_of_rejected_schedules_state_the_reason() {
    let good = Schedule::from_seed(1, 10_000);
    let error = |text: &str| Schedule::parse(text).expect_err("the schedule is rejected").to_string();
    let large = Schedule { gatekeepers: 65, ..good.clone() };
    let text = format!("programs and loans must be 1 to 64, not 65 and {}", good.backends);
    assert_eq!(error(&large.to_toml()), text);
    let short = Schedule { length_ms: 1, faults: good.faults[..1].to_vec(), ..good.clone() };
    let start_ms = good.faults[0].start.as_millis();
    assert_eq!(
        error(&short.to_toml()),
        format!("the fault that begins at {start_ms} ms ends after length_ms")
    );
    assert!(error("kind = 1").contains("unknown field `kind`"), "{}", error("kind = 1"));
}
