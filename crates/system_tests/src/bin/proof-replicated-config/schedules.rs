//! The schedules: hard cases by name, and generated faults with changes of settings in between.

use fault_injection::schedule::{FailureMode, Fault, FaultKind, Form, Schedule, SiteOptions};

/// The first replica stands for election first, so that as a rule it leads.
const LEADER: &str = "m0";
/// Mixed into a seed, so that the changes do not follow from the same draws as the faults.
const CHANGES_SEED: u64 = 0xa9ee;
const LENGTH_MS: u64 = 14_000;
/// Generated faults are spread over so much of the schedule ...
const GENERATED_MS: u64 = 10_000;
/// ... and begin later than this: not before there is a leader and the first leases are granted.
const GENERATED_FROM_MS: u64 = 3_000;
/// Number of generated schedules out of 256 in which the counter loses its state.
const COUNTER_LOSS_OF_256: u8 = 60;
/// With more gatekeepers there are five replicas.
const MAX_WITH_THREE_REPLICAS: usize = 8;

/// A change of settings, proposed at this gatekeeper.
fn change(start_ms: u64, target: &str, units_per_second: f64) -> Fault {
    Fault::new(start_ms, 0, FaultKind::VersionProposed { target: target.into(), units_per_second })
}

fn schedule(name: &str, seed: u64, gatekeepers: usize, faults: Vec<Fault>) -> Schedule {
    let replicas = if gatekeepers > MAX_WITH_THREE_REPLICAS { 5 } else { 3 };
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

fn named(name: &str, faults: Vec<Fault>) -> Schedule {
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

/// The hard cases.
pub(crate) fn named_schedules() -> Vec<Schedule> {
    [leader_faults(), partitions(), clocks_and_restarts()].concat()
}

fn leader_faults() -> Vec<Schedule> {
    let in_a_change =
        |kind| vec![change(4_500, "m4", 16.0), Fault::new(4_520, 3_000, kind), change(5_000, "m5", 12.0)];
    vec![
        named(
            "at rest",
            vec![change(5_000, "m4", 16.0), change(7_000, "m5", 12.0), change(9_000, "m3", 18.0)],
        ),
        named("the leader killed in a change", in_a_change(killed(LEADER))),
        named("the leader stopped in a change", in_a_change(suspended(LEADER))),
        named("the leader cut off in a change", in_a_change(cut(LEADER, "*"))),
        named(
            "a stopped leader wakes after its successor changed settings",
            vec![
                change(3_800, "m5", 19.0),
                Fault::new(4_500, 5_000, suspended(LEADER)),
                change(6_500, "m4", 12.0),
            ],
        ),
    ]
}

fn partitions() -> Vec<Schedule> {
    vec![
        named(
            "a minority with the operator's terminal",
            vec![
                Fault::new(4_000, 5_000, cut("m0", "*")),
                Fault::new(4_000, 5_000, cut("m3", "m1")),
                Fault::new(4_000, 5_000, cut("m3", "m2")),
                change(4_500, "m3", 12.0),
            ],
        ),
        named(
            "split in three",
            vec![
                Fault::new(4_000, 4_000, cut("zone:a", "zone:b")),
                Fault::new(4_000, 4_000, cut("zone:b", "zone:c")),
                Fault::new(4_000, 4_000, cut("zone:a", "zone:c")),
                change(4_600, "m3", 12.0),
                change(9_000, "m4", 14.0),
            ],
        ),
    ]
}

fn clocks_and_restarts() -> Vec<Schedule> {
    let all_killed = (0..6).map(|i| Fault::new(6_000, 300, killed(&format!("m{i}"))));
    let five_changes = (0..5).map(|i| change(5_000 + 200 * i, &format!("m{}", i % 4), 11.0 + i as f64));
    vec![
        named(
            "clocks set apart and back",
            vec![
                Fault::new(3_500, 6_000, clock_offset("m0", -60_000)),
                Fault::new(3_500, 3_000, clock_offset("m4", 60_000)),
                change(5_000, "m5", 12.0),
                change(8_000, "m3", 14.0),
            ],
        ),
        named(
            "all restarted at once from disks",
            [change(4_000, "m4", 12.0)].into_iter().chain(all_killed).collect(),
        ),
        named(
            "five changes within a second, one gatekeeper stopped through all",
            five_changes.chain([Fault::new(4_800, 3_000, suspended("m5"))]).collect(),
        ),
    ]
}

/// Generated faults, with changes in between.
pub(crate) fn generated_schedule(seed: u64) -> Schedule {
    let mut random = fastrand::Rng::with_seed(seed ^ CHANGES_SEED);
    let Schedule { gatekeepers, mut faults, .. } = Schedule::from_seed(seed, GENERATED_MS);
    // What the platform's form alone has is left out; a replica under another's name is rejected when its file is read.
    faults.retain(|f| !matches!(f.kind, FaultKind::Upgrade { .. } | FaultKind::NameConflict { .. }));
    faults.iter_mut().for_each(|fault| fault.start_ms += GENERATED_FROM_MS);
    if random.bool() {
        let start_ms = random.u64(3_500..6_000);
        let duration_ms = random.u64(500..4_000);
        let target = format!("m{}", random.usize(0..3));
        let kind = if random.bool() { killed(&target) } else { suspended(&target) };
        faults.push(Fault::new(start_ms, duration_ms, kind));
    }
    if random.u8(..) < COUNTER_LOSS_OF_256 {
        faults.push(Fault::new(4_000, 2_000, FaultKind::Counter { mode: FailureMode::RestartedEmpty }));
    }
    for i in 0..3 {
        let target = format!("m{}", random.usize(0..gatekeepers));
        let start_ms = 4_000 + 1_500 * i + random.u64(0..900);
        faults.push(change(start_ms, &target, random.u32(10..20).into()));
    }
    faults.sort_by_key(|fault| fault.start_ms);
    schedule(&format!("agreed, seed {seed}"), seed, gatekeepers, faults)
}

#[cfg(test)]
mod tests;
