//! The schedules: named ones for hard cases, and generated ones that mix faults with changes of the configuration.

use fault_injection::schedule::{FailureMode, Fault, FaultKind, Form, Schedule, SiteOptions};
use std::time::Duration;

/// The replica that is usually the leader, because it is the first to start an election.
const LEADER: &str = "m0";
/// The name of the schedule without faults.
pub(crate) const WITHOUT_FAULTS: &str = "at rest";
/// Combined with the seed of a schedule, so that version changes and faults come from different random sequences.
const VERSION_CHANGES_SEED: u64 = 0xa9ee;
const LENGTH_MS: u64 = 14_000;
/// Duration of the part of a schedule in which generated faults start.
const GENERATED_FAULTS_LENGTH_MS: u64 = 10_000;
/// Time in a schedule from which generated faults start. By then a leader is elected, and the first leases are granted.
const GENERATED_FAULTS_START: Duration = Duration::from_secs(3);
/// Number of generated schedules, out of 256 on average, in which the quota counter loses its state.
const COUNTER_LOSSES_PER_256: u8 = 60;
/// Maximum number of gatekeepers of a site with three replicas. Larger sites have five replicas.
const MAX_SIZE_WITH_THREE_REPLICAS: usize = 8;

/// Returns the proposal of a new version of the configuration at a gatekeeper.
fn version_proposed(start_ms: u64, target: &str, units_per_second: f64) -> Fault {
    Fault::from_millis(start_ms, 0, FaultKind::VersionProposed { target: target.into(), units_per_second })
}

fn schedule(name: &str, seed: u64, gatekeepers: usize, faults: Vec<Fault>) -> Schedule {
    let replicas = if gatekeepers > MAX_SIZE_WITH_THREE_REPLICAS { 5 } else { 3 };
    Schedule {
        name: name.into(),
        seed,
        form: Form::Appliance,
        gatekeepers,
        backends: 4,
        length_ms: LENGTH_MS,
        options: SiteOptions { replicas, ..SiteOptions::default() },
        faults,
    }
}

fn hard_case(name: &str, faults: Vec<Fault>) -> Schedule {
    schedule(name, 1, 6, faults)
}

fn cut(from: &str, to: &str) -> FaultKind {
    FaultKind::Cut { from: from.into(), to: to.into(), one_way: false }
}

fn killed(target: &str) -> FaultKind {
    FaultKind::Killed { target: target.into() }
}

fn suspended(target: &str) -> FaultKind {
    FaultKind::Suspended { target: target.into() }
}

fn clock_offset(target: &str, offset_ms: i64) -> FaultKind {
    FaultKind::ClockOffset { target: target.into(), offset_ms, running: true }
}

/// Returns the schedules of the hard cases.
pub(crate) fn named_schedules() -> Vec<Schedule> {
    [leader_faults(), partitions(), clocks_and_restarts()].concat()
}

fn leader_faults() -> Vec<Schedule> {
    let during_version_change = |kind| {
        vec![
            version_proposed(4_500, "m4", 16.0),
            Fault::from_millis(4_520, 3_000, kind),
            version_proposed(5_000, "m5", 12.0),
        ]
    };
    vec![
        hard_case(
            WITHOUT_FAULTS,
            vec![
                version_proposed(5_000, "m4", 16.0),
                version_proposed(7_000, "m5", 12.0),
                version_proposed(9_000, "m3", 18.0),
            ],
        ),
        hard_case("the leader killed in a change", during_version_change(killed(LEADER))),
        hard_case("the leader stopped in a change", during_version_change(suspended(LEADER))),
        hard_case("the leader cut off in a change", during_version_change(cut(LEADER, "*"))),
        hard_case(
            "a stopped leader wakes after its successor changed settings",
            vec![
                version_proposed(3_800, "m5", 19.0),
                Fault::from_millis(4_500, 5_000, suspended(LEADER)),
                version_proposed(6_500, "m4", 12.0),
            ],
        ),
    ]
}

fn partitions() -> Vec<Schedule> {
    vec![
        hard_case(
            "a minority with the operator's terminal",
            vec![
                Fault::from_millis(4_000, 5_000, cut("m0", "*")),
                Fault::from_millis(4_000, 5_000, cut("m3", "m1")),
                Fault::from_millis(4_000, 5_000, cut("m3", "m2")),
                version_proposed(4_500, "m3", 12.0),
            ],
        ),
        hard_case(
            "split in three",
            vec![
                Fault::from_millis(4_000, 4_000, cut("zone:a", "zone:b")),
                Fault::from_millis(4_000, 4_000, cut("zone:b", "zone:c")),
                Fault::from_millis(4_000, 4_000, cut("zone:a", "zone:c")),
                version_proposed(4_600, "m3", 12.0),
                version_proposed(9_000, "m4", 14.0),
            ],
        ),
    ]
}

fn clocks_and_restarts() -> Vec<Schedule> {
    let all_killed = (0..6).map(|i| Fault::from_millis(6_000, 300, killed(&format!("m{i}"))));
    let five_versions =
        (0..5).map(|i| version_proposed(5_000 + 200 * i, &format!("m{}", i % 4), 11.0 + i as f64));
    vec![
        hard_case(
            "clocks set apart and back",
            vec![
                Fault::from_millis(3_500, 6_000, clock_offset("m0", -60_000)),
                Fault::from_millis(3_500, 3_000, clock_offset("m4", 60_000)),
                version_proposed(5_000, "m5", 12.0),
                version_proposed(8_000, "m3", 14.0),
            ],
        ),
        hard_case(
            "all restarted at once from disks",
            [version_proposed(4_000, "m4", 12.0)].into_iter().chain(all_killed).collect(),
        ),
        hard_case(
            "five changes within a second, one gatekeeper stopped through all",
            five_versions.chain([Fault::from_millis(4_800, 3_000, suspended("m5"))]).collect(),
        ),
    ]
}

/// Returns whether this kind of fault is possible in the appliance form. This form has no upgrades, and it rejects the
/// configuration file of a replica that has the name of another replica.
fn is_applicable(kind: &FaultKind) -> bool {
    !matches!(kind, FaultKind::Upgrade { .. } | FaultKind::NameConflict { .. })
}

/// Returns the schedule that is generated from a seed: faults mixed with proposals of new versions.
pub(crate) fn generated_schedule(seed: u64) -> Schedule {
    let mut random = fastrand::Rng::with_seed(seed ^ VERSION_CHANGES_SEED);
    let Schedule { gatekeepers, mut faults, .. } = Schedule::from_seed(seed, GENERATED_FAULTS_LENGTH_MS);
    faults.retain(|fault| is_applicable(&fault.kind));
    faults.iter_mut().for_each(|fault| fault.start += GENERATED_FAULTS_START);
    if random.bool() {
        let start_ms = random.u64(3_500..6_000);
        let duration_ms = random.u64(500..4_000);
        let target = format!("m{}", random.usize(0..3));
        let kind = if random.bool() { killed(&target) } else { suspended(&target) };
        faults.push(Fault::from_millis(start_ms, duration_ms, kind));
    }
    if random.u8(..) < COUNTER_LOSSES_PER_256 {
        faults.push(Fault::from_millis(
            4_000,
            2_000,
            FaultKind::Counter { mode: FailureMode::RestartedEmpty },
        ));
    }
    for i in 0..3 {
        let target = format!("m{}", random.usize(0..gatekeepers));
        let start_ms = 4_000 + 1_500 * i + random.u64(0..900);
        faults.push(version_proposed(start_ms, &target, random.u32(10..20).into()));
    }
    faults.sort_by_key(|fault| fault.start);
    schedule(&format!("agreed, seed {seed}"), seed, gatekeepers, faults)
}

#[cfg(test)]
mod tests;
