//! Whether the rig's checkers find what they are for: a build that breaks one rule on purpose is played until its rule is named.

use fault_injection::runner::run as run_schedule;
use fault_injection::schedule::{Fault, FaultKind, Form, Schedule};
use std::path::Path;
use std::process::{Command, ExitCode};
use system_tests::{Table, program};

/// What is broken, and the rule that has to name it.
const BROKEN: [(&str, &str); 7] = [
    ("answers", "one final answer in time"),
    ("ceilings", "hard ceiling"),
    ("drained", "nothing new to who takes no work"),
    ("rounds", "no round twice"),
    ("exits", "no exit unasked"),
    ("holds", "bounded memory, descriptors and threads"),
    ("agreed", "all agree again"),
];
/// A rule that is found later than this is not guarded.
const MOST: usize = 20;

/// The course for a seed, in the appliance's form, which alone has duties and a catalogue.
fn course(seed: u64) -> Schedule {
    let mut drawn = Schedule::from_seed(seed, 10_000);
    // Some loan server drains in each, as it does on any day.
    drawn.form = Form::Appliance;
    drawn.faults.retain(|f| !matches!(f.kind, FaultKind::Upgrade { .. }));
    drawn.faults.push(Fault {
        start_ms: 2_000,
        duration_ms: 4_000,
        kind: FaultKind::Drained { target: "l1".into() },
    });
    drawn
}

/// How many schedules it takes until the rule is named.
fn found(build: &Path, rule: &str) -> Option<usize> {
    (1..=MOST).find(|&seed| {
        let folder = std::env::temp_dir().join(format!("sf-check-{}-{seed}", std::process::id()));
        let played = run_schedule(&course(seed as u64), build, &folder);
        let _ = std::fs::remove_dir_all(&folder);
        match played {
            Ok(played) => played.violations.iter().any(|v| v.rule == rule),
            Err(why) => {
                println!("seed {seed}: {why}");
                false
            }
        }
    })
}

/// Plays one broken rule in a process of its own, from whose environment the programs take what to break.
fn asked_of_child(build: &str, broken: &str) -> Option<usize> {
    let me = std::env::current_exe().ok()?;
    let done = Command::new(me).args([build, broken]).env("SNOWFIELD_WEAKENED", broken).output().ok()?;
    String::from_utf8_lossy(&done.stdout).lines().last()?.parse().ok()
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let build = match &words[..] {
        [build] => build,
        [build, broken] => {
            let rule = BROKEN.iter().find(|b| b.0 == broken).map_or("", |b| b.1);
            return match found(Path::new(build), rule) {
                Some(schedules) => {
                    println!("{schedules}");
                    ExitCode::SUCCESS
                }
                None => ExitCode::FAILURE,
            };
        }
        _ => {
            eprintln!("proof-checkers PROGRAM: a build with the feature `weakened`");
            return ExitCode::FAILURE;
        }
    };
    let mut table = Table::default();
    let mut all = 0;
    let counts: Vec<Option<usize>> = std::thread::scope(|scope| {
        let asked: Vec<_> =
            BROKEN.map(|(broken, _)| scope.spawn(move || asked_of_child(build, broken))).into();
        asked.into_iter().map(|a| a.join().unwrap_or_default()).collect()
    });
    for ((broken, rule), schedules) in BROKEN.into_iter().zip(counts) {
        all += usize::from(schedules.is_some());
        let name = format!("{broken} broken: schedules until \"{rule}\" is named");
        table.at_most(&name, schedules.map_or(f64::INFINITY, |n| n as f64), MOST as f64);
    }
    let sound = found_in_release();
    table.at_most("rules named of the release build, in three of the same schedules", sound as f64, 0.0);
    let fine = table.print();
    println!(
        "proof checkers: {all} of {} broken rules named, {sound} of the release's, {}",
        BROKEN.len(),
        if fine { "all within bounds" } else { "OUT OF BOUNDS" }
    );
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Rules that the release build is said to break in the first three of the same schedules.
fn found_in_release() -> usize {
    let played = (1..=3).map(|seed| {
        let folder = std::env::temp_dir().join(format!("sf-check-{}-sound-{seed}", std::process::id()));
        let played = run_schedule(&course(seed), &program(), &folder);
        let _ = std::fs::remove_dir_all(&folder);
        played.map_or(1, |p| p.violations.len())
    });
    played.sum()
}
