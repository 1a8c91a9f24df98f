//! Named schedules: combinations of faults that are known to be difficult.

use super::{DiskFault, FailureMode, Fault, FaultKind, Form, Schedule, SiteOptions};

const SEED: u64 = 1;
const BACKENDS: usize = 6;

/// Returns all schedules with a name, those for the appliance and those for the platform.
pub fn named_schedules() -> Vec<Schedule> {
    [
        half_of_gatekeepers_killed(),
        interrupted_upgrades(),
        partial_failures(),
        rolling_restarts(),
        broken_links(),
        changed_identities(),
        long_or_large_outages(),
        region_and_file_faults(),
    ]
    .concat()
}

fn schedule(name: &str, form: Form, gatekeepers: usize, length_ms: u64, faults: Vec<Fault>) -> Schedule {
    Schedule {
        name: name.to_owned(),
        seed: SEED,
        form,
        gatekeepers,
        backends: BACKENDS,
        length_ms,
        options: SiteOptions::default(),
        faults,
    }
}

fn appliance(name: &str, gatekeepers: usize, length_ms: u64, faults: Vec<Fault>) -> Schedule {
    schedule(name, Form::Appliance, gatekeepers, length_ms, faults)
}

fn platform(name: &str, gatekeepers: usize, length_ms: u64, faults: Vec<Fault>) -> Schedule {
    schedule(name, Form::Platform, gatekeepers, length_ms, faults)
}

fn cut(start_ms: u64, duration_ms: u64, from: &str, to: &str) -> Fault {
    let kind = FaultKind::Cut { from: from.to_owned(), to: to.to_owned(), one_way: false };
    Fault::from_millis(start_ms, duration_ms, kind)
}

fn killed(start_ms: u64, duration_ms: u64, target: &str) -> Fault {
    Fault::from_millis(start_ms, duration_ms, FaultKind::Killed { target: target.to_owned() })
}

fn upgrade_of_m1(new_dies_after_us: Option<u64>, old_dies_after_us: Option<u64>) -> FaultKind {
    FaultKind::Upgrade { target: "m1".to_owned(), new_dies_after_us, old_dies_after_us }
}

fn half_of_gatekeepers_killed() -> Vec<Schedule> {
    let half = vec![killed(2_000, 3_000, "m0"), killed(2_300, 3_000, "m2"), killed(2_600, 3_000, "m4")];
    vec![
        appliance("half killed within a second", 6, 9_000, half.clone()),
        platform("half killed within a second, platform", 6, 9_000, half),
    ]
}

fn interrupted_upgrades() -> Vec<Schedule> {
    let dies_after_us = Some(400_000);
    vec![
        platform(
            "a split in the middle of an upgrade",
            4,
            8_000,
            vec![
                Fault::from_millis(2_000, 3_000, upgrade_of_m1(None, None)),
                cut(1_990, 2_500, "region:north", "region:south"),
            ],
        ),
        platform(
            "the new program of an upgrade dies unheard",
            4,
            8_000,
            vec![Fault::from_millis(2_000, 2_000, upgrade_of_m1(dies_after_us, None))],
        ),
        platform(
            "the old program of an upgrade dies unheard",
            4,
            8_000,
            vec![Fault::from_millis(2_000, 2_000, upgrade_of_m1(None, dies_after_us))],
        ),
    ]
}

fn partial_failures() -> Vec<Schedule> {
    let throttled = FaultKind::Throttled { target: "m1".to_owned() };
    vec![
        appliance(
            "a slow member that others wait for",
            6,
            9_000,
            vec![Fault::from_millis(2_000, 4_000, throttled)],
        ),
        appliance(
            "the counter reachable from one zone only",
            6,
            10_000,
            vec![cut(2_000, 5_000, "zone:b", "counter"), cut(2_000, 5_000, "zone:c", "counter")],
        ),
    ]
}

fn rolling_restarts() -> Vec<Schedule> {
    let all: Vec<Fault> = (0..6).map(|i| killed(2_000 + 300 * i, 200, &format!("m{i}"))).collect();
    vec![
        appliance("all restarted within two seconds", 6, 9_000, all.clone()),
        platform("all restarted within two seconds, platform", 6, 9_000, all),
    ]
}

fn broken_links() -> Vec<Schedule> {
    let flapping = FaultKind::Flapping { from: "m0".to_owned(), to: "*".to_owned(), period_ms: 1_000 };
    let one_way = FaultKind::Cut { from: "m0".to_owned(), to: "m1".to_owned(), one_way: true };
    vec![
        appliance("a flapping link", 5, 60_000, vec![Fault::from_millis(1_000, 56_000, flapping)]),
        appliance("two apart while a third reaches both", 5, 10_000, vec![cut(2_000, 6_000, "m0", "m1")]),
        appliance(
            "a link that works one way only",
            5,
            10_000,
            vec![Fault::from_millis(2_000, 6_000, one_way)],
        ),
    ]
}

fn changed_identities() -> Vec<Schedule> {
    let rotation = FaultKind::KeyRotation { target: "region:north".to_owned() };
    let conflict = FaultKind::NameConflict { target: "m1".to_owned(), name: "m2".to_owned() };
    let clock = |target: &str, offset_ms| FaultKind::ClockOffset {
        target: target.to_owned(),
        offset_ms,
        running: true,
    };
    vec![
        appliance(
            "keys changed while split",
            6,
            10_000,
            vec![
                cut(2_000, 4_000, "region:north", "region:south"),
                Fault::from_millis(2_500, 2_500, rotation),
            ],
        ),
        appliance("two members of one name", 5, 10_000, vec![Fault::from_millis(2_000, 4_000, conflict)]),
        appliance(
            "a clock set back while it runs",
            5,
            10_000,
            vec![
                Fault::from_millis(2_000, 3_000, clock("m1", -140)),
                Fault::from_millis(2_500, 3_000, clock("m2", 140)),
            ],
        ),
    ]
}

fn long_or_large_outages() -> Vec<Schedule> {
    let suspended = FaultKind::Suspended { target: "m1".to_owned() };
    let half = (0..12).map(|i| killed(3_000 + 80 * i, 4_000, &format!("m{}", 2 * i))).collect();
    vec![
        appliance(
            "a member that was stopped for a minute",
            6,
            70_000,
            vec![Fault::from_millis(2_000, 60_000, suspended)],
        ),
        appliance("half of 24 killed within a second", 24, 14_000, half),
    ]
}

fn region_and_file_faults() -> Vec<Schedule> {
    let silent = FaultKind::Consul { target: "m1".to_owned(), mode: FailureMode::Silent };
    let torn = FaultKind::Disk { target: "m1".to_owned(), fault: DiskFault::Torn(500) };
    vec![
        appliance("a region cut off", 6, 10_000, vec![cut(2_000, 5_000, "region:north", "region:south")]),
        appliance(
            "the list file torn while Consul is silent",
            5,
            10_000,
            vec![Fault::from_millis(2_000, 4_000, silent), Fault::from_millis(3_000, 300, torn)],
        ),
    ]
}
