//! Agreed versions on real programs under injected faults: what each acted on and when, by its own lines with the machine's
//! clock, and how long a change takes.

use fault_injection::checkers::longest_contradiction;
use fault_injection::history::{Observation, Record};
use fault_injection::runner::{RunResult, run as run_schedule};
use fault_injection::schedule::{FailureMode, Fault, FaultKind, Form, Schedule, SiteOptions};
use serde_json::Value;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Mutex;
use system_tests::{Table, each_of, percentile, program};

/// The first voter stands for election first, so that as a rule it leads.
const LEADER: &str = "m0";

/// ms; two that contradict each other for longer are named.
const NOTED: u64 = 100;

fn fault(at_ms: u64, for_ms: u64, kind: FaultKind) -> Fault {
    Fault { start_ms: at_ms, duration_ms: for_ms, kind }
}

fn change(at: u64, who: &str, rate: f64) -> Fault {
    fault(at, 0, FaultKind::VersionProposed { target: who.into(), units_per_second: rate })
}

fn schedule(name: &str, seed: u64, programs: usize, length_ms: u64, faults: Vec<Fault>) -> Schedule {
    let has = SiteOptions { replicas: if programs > 8 { 5 } else { 3 }, ..SiteOptions::default() };
    Schedule {
        name: name.into(),
        seed,
        form: Form::Appliance,
        gatekeepers: programs,
        backends: 4,
        length_ms,
        options: has,
        faults,
    }
}

/// The hard cases.
fn named() -> Vec<Schedule> {
    let who = || LEADER.to_owned();
    let make = |name: &str, programs, faults| schedule(name, 1, programs, 14_000, faults);
    let cut = |from: &str, to: &str| FaultKind::Cut { from: from.into(), to: to.into(), one_way: false };
    let all = |at: u64| (0..6).map(move |i| fault(at, 300, FaultKind::Killed { target: format!("m{i}") }));
    let around = |kind: FaultKind| {
        vec![change(4_500, "m4", 16.0), fault(4_520, 3_000, kind), change(5_000, "m5", 12.0)]
    };
    vec![
        make(
            "at rest",
            6,
            vec![change(5_000, "m4", 16.0), change(7_000, "m5", 12.0), change(9_000, "m3", 18.0)],
        ),
        make("the leader killed in a change", 6, around(FaultKind::Killed { target: who() })),
        make("the leader stopped in a change", 6, around(FaultKind::Suspended { target: who() })),
        make("the leader cut off in a change", 6, around(cut(LEADER, "*"))),
        make(
            "a stopped leader wakes after its successor changed settings",
            6,
            vec![
                change(3_800, "m5", 19.0),
                fault(4_500, 5_000, FaultKind::Suspended { target: who() }),
                change(6_500, "m4", 12.0),
            ],
        ),
        make(
            "a minority with the operator's terminal",
            6,
            vec![
                fault(4_000, 5_000, cut("m0", "*")),
                fault(4_000, 5_000, cut("m3", "m1")),
                fault(4_000, 5_000, cut("m3", "m2")),
                change(4_500, "m3", 12.0),
            ],
        ),
        make(
            "split in three",
            6,
            vec![
                fault(4_000, 4_000, cut("zone:a", "zone:b")),
                fault(4_000, 4_000, cut("zone:b", "zone:c")),
                fault(4_000, 4_000, cut("zone:a", "zone:c")),
                change(4_600, "m3", 12.0),
                change(9_000, "m4", 14.0),
            ],
        ),
        make(
            "clocks set apart and back",
            6,
            vec![
                fault(
                    3_500,
                    6_000,
                    FaultKind::ClockOffset { target: "m0".into(), offset_ms: -60_000, running: true },
                ),
                fault(
                    3_500,
                    3_000,
                    FaultKind::ClockOffset { target: "m4".into(), offset_ms: 60_000, running: true },
                ),
                change(5_000, "m5", 12.0),
                change(8_000, "m3", 14.0),
            ],
        ),
        make(
            "all restarted at once from disks",
            6,
            vec![change(4_000, "m4", 12.0)].into_iter().chain(all(6_000)).collect(),
        ),
        make(
            "five changes within a second, one gatekeeper stopped through all",
            6,
            (0..5)
                .map(|i| change(5_000 + 200 * i, &format!("m{}", i % 4), 11.0 + i as f64))
                .chain([fault(4_800, 3_000, FaultKind::Suspended { target: "m5".into() })])
                .collect(),
        ),
    ]
}

/// Drawn faults, with changes in between.
fn drawn(seed: u64) -> Schedule {
    let mut random = fastrand::Rng::with_seed(seed ^ 0xa9ee);
    let mut drawn = Schedule::from_seed(seed, 10_000);
    drawn.form = Form::Appliance;
    drawn.length_ms = 14_000;
    // What has the platform's form alone is left out; a voter under another's name is refused when its file is read.
    drawn.faults.retain(|f| !matches!(f.kind, FaultKind::Upgrade { .. } | FaultKind::NameConflict { .. }));
    // Not before there is a leader and the first leases are given.
    drawn.faults.iter_mut().for_each(|f| f.start_ms += 3_000);
    if random.bool() {
        let at_ms = random.u64(3_500..6_000);
        let for_ms = random.u64(500..4_000);
        let who = format!("m{}", random.usize(0..3));
        let kind = if random.bool() {
            FaultKind::Killed { target: who }
        } else {
            FaultKind::Suspended { target: who }
        };
        drawn.faults.push(Fault { start_ms: at_ms, duration_ms: for_ms, kind });
    }
    if random.u8(..) < 60 {
        drawn.faults.push(fault(4_000, 2_000, FaultKind::Counter { mode: FailureMode::RestartedEmpty }));
    }
    for i in 0..3 {
        let who = format!("m{}", random.usize(0..drawn.gatekeepers));
        drawn.faults.push(change(4_000 + 1_500 * i + random.u64(0..900), &who, random.u32(10..20).into()));
    }
    let mut schedule =
        schedule(&format!("agreed, seed {seed}"), seed, drawn.gatekeepers, drawn.length_ms, drawn.faults);
    schedule.faults.sort_by_key(|f| f.start_ms);
    schedule
}

/// For each version: ms from when its proposer heard of it until the last program that was told of it in time acted on it alone.
fn effects(history: &[Record]) -> BTreeMap<u64, (u64, u64)> {
    let mut all: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for record in history {
        match &record.observation {
            Observation::VersionProposed { exit_code: 0, output: said, .. } => {
                let number = said.strip_prefix("version ").and_then(|t| t.split(' ').next()?.parse().ok());
                if let Some(number) = number {
                    all.entry(number).or_insert((record.at_us, record.at_us));
                }
            }
            Observation::LogLine { fields, .. } => {
                let number = |name: &str| fields.get(name).and_then(Value::as_u64);
                if let (Some(version), Some(0), Some(true)) =
                    (number("version"), number("proposed"), fields.get("leased").and_then(Value::as_bool))
                    && let Some(entry) = all.get_mut(&version)
                {
                    entry.1 = record.at_us;
                }
            }
            _ => {}
        }
    }
    all
}

#[derive(Default)]
struct Sums {
    faults: BTreeMap<String, u64>,
    taken: u64,
    refused: BTreeMap<i32, u64>,
    apart: Vec<f64>,
    rest: Vec<f64>,
    under: Vec<f64>,
    failed: Vec<String>,
    operations: u64,
}

impl Sums {
    fn add(&mut self, schedule: &Schedule, played: &RunResult) {
        for (kind, count) in &played.faults {
            *self.faults.entry(kind.clone()).or_default() += count;
        }
        self.operations += played.outcomes.values().sum::<u64>();
        for record in &played.history {
            if let Observation::VersionProposed { exit_code: code, .. } = &record.observation {
                self.taken += u64::from(*code == 0);
                *self.refused.entry(*code).or_default() += u64::from(*code != 0);
            }
        }
        let contradiction = longest_contradiction(&played.history);
        let (apart, who) = (contradiction.longest_ms, contradiction.description);
        self.apart.push(apart as f64 / 1_000.0);
        if apart > NOTED {
            println!("{}: apart for {apart} ms: {who}", schedule.name);
        }
        let took = effects(&played.history).into_values().map(|(from, to)| (to - from) as f64 / 1e6);
        if schedule.name == "at rest" {
            self.rest.extend(took)
        } else {
            self.under.extend(took)
        }
        if !played.violations.is_empty() {
            self.failed.push(schedule.name.clone());
            for violation in played.violations.iter().take(4) {
                println!("{}: {}: {}", schedule.name, violation.rule, violation.text);
            }
        }
    }
}

fn main() -> ExitCode {
    let number = |n: usize| std::env::args().nth(n).and_then(|a| a.parse::<u64>().ok());
    let (count, first) = (number(1).unwrap_or(200), number(2).unwrap_or(1));
    // Another build, as one that breaks a rule on purpose.
    let build = std::env::args().nth(3).map_or_else(program, std::path::PathBuf::from);
    let schedules: Vec<Schedule> = named().into_iter().chain((first..first + count).map(drawn)).collect();
    let sums = Mutex::new(Sums::default());
    let at_a_time = 2 * std::thread::available_parallelism().map_or(1, |n| n.get());
    each_of(&schedules, at_a_time, |i, schedule| {
        let folder = std::env::temp_dir().join(format!("sf-agreed-{}-{i}", std::process::id()));
        let played = run_schedule(schedule, &build, &folder);
        let _ = std::fs::remove_dir_all(&folder);
        let mut sums = sums.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match played {
            Ok(played) => sums.add(schedule, &played),
            Err(why) => {
                println!("{}: {why}", schedule.name);
                sums.failed.push(schedule.name.clone());
            }
        }
    });
    let mut sums = sums.into_inner().unwrap_or_default();
    let mut table = Table::default();
    table.tell("schedules, operations", format!("{}, {}", schedules.len(), sums.operations));
    for (kind, count) in &sums.faults {
        table.tell(&format!("fault: {kind}"), count);
    }
    table.tell("versions taken", sums.taken);
    for (code, count) in sums.refused.iter().filter(|(code, _)| **code != 0) {
        table.tell(&format!("proposals that ended with code {code}"), count);
    }
    for list in [&mut sums.apart, &mut sums.rest, &mut sums.under] {
        list.sort_by(f64::total_cmp);
    }
    let worst = |list: &[f64]| list.last().copied().unwrap_or(0.0);
    table.at_most("two act on versions that contradict each other, longest, s", worst(&sums.apart), 0.25);
    table.tell("... 99th percentile of schedules, s", format!("{:.3}", percentile(&sums.apart, 0.99)));
    table
        .tell("at rest, until in force everywhere: median, s", format!("{:.3}", percentile(&sums.rest, 0.5)));
    table.at_most("... worst, s", worst(&sums.rest), 1.0);
    table.at_least("... versions taken", sums.rest.len() as f64, 3.0);
    table.tell("under faults: median, s", format!("{:.3}", percentile(&sums.under, 0.5)));
    table.tell("... 99th percentile, s", format!("{:.3}", percentile(&sums.under, 0.99)));
    table.at_most("schedules that failed", sums.failed.len() as f64, 0.0);
    let fine = table.print();
    println!(
        "proof agreed: {} schedules, {} versions, {:.3} s apart at worst, {:.3} s to be in force at rest, {}",
        schedules.len(),
        sums.taken,
        worst(&sums.apart),
        worst(&sums.rest),
        if fine { "all within bounds" } else { "OUT OF BOUNDS" }
    );
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
