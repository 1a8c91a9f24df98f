//! Runs several real gatekeepers under injected faults. The schedules are generated from seeds or have a name, several run in
//! parallel, and the checkers of the harness evaluate each one. Afterwards a gatekeeper is started with its endpoint cache
//! truncated at each byte.

mod options;
mod runner;
mod totals;

use clap::Parser;
use fault_injection::schedule::Schedule;
use fault_injection::torn_writes::TornWrites;
use options::Options;
use runner::{Runner, read_schedule};
use std::process::ExitCode;
use system_tests::{Error, Table, Verdict};
use totals::print_violations;

fn main() -> ExitCode {
    let options = match Options::try_parse() {
        Ok(options) => options,
        Err(error) => {
            let _ = error.print();
            return ExitCode::FAILURE;
        }
    };
    match run(options) {
        Ok(verdict) => verdict.into(),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints a schedule, shrinks a schedule or runs all schedules, depending on the options.
fn run(options: Options) -> Result<Verdict, Error> {
    let runner = Runner::new(options);
    let options = runner.options();
    if let Some(seed) = options.file.print {
        print!("{}", Schedule::from_seed(seed, options.length_ms()).to_toml());
        return Ok(Verdict::WithinBounds);
    }
    if let Some(path) = &options.file.shrink {
        print!("{}", runner.shrink(&read_schedule(path)?)?.to_toml());
        return Ok(Verdict::WithinBounds);
    }
    run_schedules(&runner)
}

/// Runs the schedules that the options select, prints the table and the last line, and returns the verdict.
fn run_schedules(runner: &Runner) -> Result<Verdict, Error> {
    let options = runner.options();
    let schedules = runner.schedules()?;
    let totals = runner.run_all(&schedules);
    let is_replay = options.file.replay.is_some();
    let truncations = if is_replay { None } else { Some(runner.truncate_endpoint_cache()?) };

    let mut table = Table::default();
    totals.add_runs_to(&mut table, schedules.len(), options.parallelism());
    if let Some(truncations) = &truncations {
        add_truncations(&mut table, truncations);
    }
    totals.add_failures_to(&mut table);
    let verdict = table.print();
    println!("proof faults: {}, {verdict}", totals.summary(schedules.len()));
    Ok(verdict)
}

fn add_truncations(table: &mut Table, TornWrites { starts, violations }: &TornWrites) {
    print_violations("file", violations);
    table.add("starts with the list file cut at each byte", starts);
    table.add_with_maximum("... that went wrong", violations.len() as f64, 0.0);
}
