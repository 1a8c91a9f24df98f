//! Tests the checkers of the fault-injection harness: `proof-checkers PROGRAM`.
//!
//! `PROGRAM` is a build with seeded faults. For each seeded fault, schedules run with this fault alone until a checker reports
//! the rule that the fault breaks. The release build runs some of the same schedules and must break no rule.

mod child;
mod schedules;
mod seeded_fault;

use schedules::{MAX_SCHEDULES, violations_of_release_build};
use seeded_fault::SEEDED_FAULTS;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use system_tests::Table;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match &arguments[..] {
        [build] => test_checkers(build),
        [build, fault_name] => child::main(Path::new(build), fault_name),
        _ => {
            eprintln!("proof-checkers PROGRAM: a build with the feature `weakened`");
            ExitCode::FAILURE
        }
    }
}

/// Tests all checkers and prints the table and the last line.
fn test_checkers(build: &str) -> ExitCode {
    let schedules_until_reported = run_seeded_faults(build);
    let release_violations = violations_of_release_build();

    let mut table = Table::default();
    for (fault, schedules) in SEEDED_FAULTS.iter().zip(&schedules_until_reported) {
        let schedules = schedules.map_or(f64::INFINITY, |schedules| schedules as f64);
        let name = format!("{} broken: schedules until \"{}\" is named", fault.name, fault.rule);
        table.add_with_maximum(&name, schedules, MAX_SCHEDULES as f64);
    }
    let name = "rules named of the release build, in three of the same schedules";
    table.add_with_maximum(name, release_violations as f64, 0.0);
    let verdict = table.print();
    println!(
        "proof checkers: {} of {} broken rules named, {release_violations} of the release's, {verdict}",
        schedules_until_reported.iter().flatten().count(),
        SEEDED_FAULTS.len()
    );
    verdict.into()
}

/// Runs all seeded faults in parallel. Returns for each fault the number of schedules that ran until its rule was reported, or
/// `None` if it was not reported.
fn run_seeded_faults(build: &str) -> Vec<Option<usize>> {
    thread::scope(|scope| {
        let children = SEEDED_FAULTS.map(|fault| scope.spawn(move || child::run(build, &fault)));
        children.into_iter().map(|child| child.join().unwrap_or_default()).collect()
    })
}
