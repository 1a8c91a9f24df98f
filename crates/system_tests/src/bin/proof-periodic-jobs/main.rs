//! Tests shared periodic jobs on real gatekeepers: 8 instances share 64 jobs with a period of 500 ms, under kills, suspensions,
//! partitions and outages of the lease store.
//!
//! The target of the jobs accepts every call, so it records a run twice if the run happens twice. In the first schedule, which
//! has all kinds of faults, the clocks of the instances agree. In the second one they differ by as much as the configuration
//! allows.

mod clock_offsets;
mod gaps;
mod phases;
mod schedule;
mod single_clock;

use fault_injection::runner::RunResult;
use fault_injection::schedule::Schedule;
use std::process::ExitCode;
use system_tests::{Error, Table, Verdict, release_build, run_schedule};

fn main() -> ExitCode {
    match run() {
        Ok(verdict) => verdict.into(),
        Err(error) => {
            eprintln!("proof duties: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs both schedules, prints the table and the last line, and returns the verdict.
fn run() -> Result<Verdict, Error> {
    let mut table = Table::default();
    let summary = single_clock::run(&mut table)?;
    clock_offsets::run(&mut table)?;
    let verdict = table.print();
    println!("proof duties: {summary}, {verdict}");
    Ok(verdict)
}

/// Runs a schedule on the release build and adds its violations to the table.
fn run_and_report(schedule: &Schedule, table: &mut Table) -> Result<RunResult, Error> {
    let result = run_schedule(schedule, &release_build(), "sf-duties")?;
    table.add_violations("", &result.violations);
    Ok(result)
}
