//! Tests the checkers of the harness: a build with seeded faults is run with one fault at a time until the broken rule is reported.
//! `proof-checkers PROGRAM`.

use fault_injection::schedule::{Fault, FaultKind, Form, Schedule};
use seeded_faults::FAULT_VARIABLE;
use std::path::Path;
use std::process::{Command, ExitCode};
use std::thread;
use system_tests::{Table, release_build, run_schedule};

/// A seeded fault, and the rule that has to name it.
struct SeededFault {
    name: &'static str,
    rule: &'static str,
}

const SEEDED_FAULTS: [SeededFault; 7] = [
    SeededFault { name: "answers", rule: "one final answer in time" },
    SeededFault { name: "ceilings", rule: "hard ceiling" },
    SeededFault { name: "drained", rule: "nothing new to who takes no work" },
    SeededFault { name: "rounds", rule: "no round twice" },
    SeededFault { name: "exits", rule: "no exit unasked" },
    SeededFault { name: "holds", rule: "bounded memory, descriptors and threads" },
    SeededFault { name: "agreed", rule: "all agree again" },
];
/// Maximum number of schedules until the broken rule is reported.
const MAX_SCHEDULES: usize = 20;
/// Number of the same schedules that the release build runs.
const SOUND_SCHEDULES: usize = 3;
const LENGTH_MS: u64 = 10_000;

/// The schedule of a seed, in the appliance's form, which alone has periodic jobs and a catalogue. A backend drains in each, as
/// one does on any day.
fn schedule(seed: usize) -> Schedule {
    let mut schedule = Schedule::from_seed(seed as u64, LENGTH_MS);
    schedule.form = Form::Appliance;
    schedule.faults.retain(|fault| !matches!(fault.kind, FaultKind::Upgrade { .. }));
    schedule.faults.push(Fault::new(2_000, 4_000, FaultKind::Drained { target: "l1".into() }));
    schedule
}

/// How many schedules it takes until the rule is named.
fn schedules_until_named(build: &Path, rule: &str) -> Option<usize> {
    (1..=MAX_SCHEDULES).find(|&seed| {
        match run_schedule(&schedule(seed), build, &format!("sf-check-{seed}")) {
            Ok(result) => result.violations.iter().any(|violation| violation.rule == rule),
            Err(error) => {
                println!("seed {seed}: {error}");
                false
            }
        }
    })
}

/// Runs one seeded fault in a process of its own, from whose environment the gatekeepers take what to break.
fn run_in_child(build: &str, fault: &str) -> Option<usize> {
    let this = std::env::current_exe().ok()?;
    let done = Command::new(this).args([build, fault]).env(FAULT_VARIABLE, fault).output().ok()?;
    String::from_utf8_lossy(&done.stdout).lines().last()?.parse().ok()
}

/// The child's part: prints how many schedules it took.
fn run_one(build: &Path, fault: &str) -> ExitCode {
    let rule = SEEDED_FAULTS.iter().find(|seeded| seeded.name == fault).map_or("", |seeded| seeded.rule);
    match schedules_until_named(build, rule) {
        Some(schedules) => {
            println!("{schedules}");
            ExitCode::SUCCESS
        }
        None => ExitCode::FAILURE,
    }
}

/// Rules that the release build is said to break in the first of the same schedules.
fn violations_of_release_build() -> usize {
    let violations = |seed| {
        let result = run_schedule(&schedule(seed), &release_build(), &format!("sf-check-sound-{seed}"));
        result.map_or(1, |result| result.violations.len())
    };
    (1..=SOUND_SCHEDULES).map(violations).sum()
}

fn run_all(build: &str) -> ExitCode {
    let mut table = Table::default();
    let counts: Vec<Option<usize>> = thread::scope(|scope| {
        let children = SEEDED_FAULTS.map(|fault| scope.spawn(move || run_in_child(build, fault.name)));
        children.into_iter().map(|child| child.join().unwrap_or_default()).collect()
    });
    for (SeededFault { name, rule }, schedules) in SEEDED_FAULTS.iter().zip(&counts) {
        let schedules = schedules.map_or(f64::INFINITY, |count| count as f64);
        let name = format!("{name} broken: schedules until \"{rule}\" is named");
        table.add_with_maximum(&name, schedules, MAX_SCHEDULES as f64);
    }
    let named = counts.iter().flatten().count();
    let sound = violations_of_release_build();
    table.add_with_maximum(
        "rules named of the release build, in three of the same schedules",
        sound as f64,
        0.0,
    );
    let verdict = table.print();
    println!(
        "proof checkers: {named} of {} broken rules named, {sound} of the release's, {verdict}",
        SEEDED_FAULTS.len()
    );
    verdict.into()
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match &arguments[..] {
        [build] => run_all(build),
        [build, fault] => run_one(Path::new(build), fault),
        _ => {
            eprintln!("proof-checkers PROGRAM: a build with the feature `weakened`");
            ExitCode::FAILURE
        }
    }
}
