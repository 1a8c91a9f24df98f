//! Shared periodic jobs on real gatekeepers: 8 instances, 64 jobs every 500 ms, with kills, suspensions, partitions and outages of
//! the lease store. The target takes every call, so a run that happened twice is seen twice.

mod clock_offsets;
mod job_runs;
mod schedules;
mod single_clock;

use fault_injection::runner::RunResult;
use fault_injection::schedule::Schedule;
use std::process::ExitCode;
use system_tests::{Error, Table, release_build, run_schedule};

/// Runs a schedule on the release build and adds its violations to the table.
fn run_and_report(schedule: &Schedule, table: &mut Table) -> Result<RunResult, Error> {
    let result = run_schedule(schedule, &release_build(), "sf-duties")?;
    table.add_violations("", &result.violations);
    Ok(result)
}

fn main() -> ExitCode {
    let mut table = Table::default();
    let done =
        single_clock::run(&mut table).and_then(|summary| clock_offsets::run(&mut table).map(|()| summary));
    let summary = match done {
        Ok(summary) => summary,
        Err(error) => {
            eprintln!("proof duties: {error}");
            return ExitCode::FAILURE;
        }
    };
    let verdict = table.print();
    println!("proof duties: {summary}, {verdict}");
    verdict.into()
}
