//! Whether two builds of the gatekeeper work together: `proof-compatibility OLD [NEW]`.
//!
//! Under load, with the stand-ins of the other system tests:
//!
//! 1. the platform's form is upgraded in service from the old build to the new one and back, several times;
//! 2. the appliance's form is killed and started again from its disks, each time by the other build: replicas' logs, and the
//!    cached endpoint list while Consul does not answer;
//! 3. half of a cluster runs the old build and half the new one.
//!
//! Ends with 1 where a rule is broken or a figure is out of bounds, and with 2 where it is called wrongly.

mod mixed;
mod restarts;
mod upgrades;

use fault_injection::builds::Builds;
use fault_injection::history::{Observation, Record};
use fault_injection::runner::RunResult;
use fault_injection::schedule::{Fault, FaultKind, Form, Schedule, SiteOptions};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use system_tests::{Error, Table, accepted_version, release_build, run_schedule};

const USAGE: &str =
    "proof-compatibility OLD [NEW]: two builds of snowfield; NEW is the release build beside this program";
/// Exit code where the call is wrong.
const WRONG_CALL: u8 = 2;
const BACKENDS: usize = 3;

/// The two builds.
struct Pair {
    old: PathBuf,
    new: PathBuf,
}

impl Pair {
    /// The builds that are named; none where the call is wrong.
    fn from_arguments(arguments: &[String]) -> Option<Self> {
        let (old, new) = match arguments {
            [old] => (PathBuf::from(old), release_build()),
            [old, new] => (PathBuf::from(old), PathBuf::from(new)),
            _ => return None,
        };
        let is_build = |path: &Path| path.is_file() && path.file_name() == old.file_name();
        (is_build(&old) && is_build(&new)).then(|| Self { old: old.clone(), new })
    }

    /// Each process of a gatekeeper runs the other build than its last one.
    fn alternating(&self) -> Builds {
        Builds::Alternating(self.old.clone(), self.new.clone())
    }

    /// Every other gatekeeper runs the old build.
    fn by_gatekeeper(&self) -> Builds {
        Builds::ByGatekeeper(self.old.clone(), self.new.clone())
    }
}

fn schedule(
    name: &str,
    form: Form,
    gatekeepers: usize,
    length_ms: u64,
    options: SiteOptions,
    faults: Vec<Fault>,
) -> Schedule {
    let (seed, backends) = (1, BACKENDS);
    Schedule { name: name.into(), seed, form, gatekeepers, backends, length_ms, options, faults }
}

fn propose(start_ms: u64, target: &str, units_per_second: f64) -> Fault {
    Fault::new(start_ms, 0, FaultKind::VersionProposed { target: target.into(), units_per_second })
}

/// Runs a schedule and adds its violations to the table.
fn run_and_report(schedule: &Schedule, builds: Builds, table: &mut Table) -> Result<RunResult, Error> {
    let name = &schedule.name;
    let result = run_schedule(schedule, builds, "sf-compat")
        .map_err(|source| Error::Schedule { schedule: name.clone(), source })?;
    table.add_violations(&format!("{name}: "), &result.violations);
    table.add_with_maximum(&format!("{name}: rules broken"), result.violations.len() as f64, 0.0);
    Ok(result)
}

fn report_convergence(result: &RunResult, name: &str, table: &mut Table) {
    let after = result.converged_after_ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
    table.add(&format!("{name}: all agree after the last fault"), after);
}

/// The versions that were proposed, in order; 0 where a proposal was not accepted.
fn proposed_versions(history: &[Record]) -> Vec<u64> {
    let version = |record: &Record| match &record.observation {
        Observation::VersionProposed { .. } => Some(accepted_version(&record.observation).unwrap_or(0)),
        _ => None,
    };
    history.iter().filter_map(version).collect()
}

/// Runs all three parts; returns how many requests there were.
fn run(pair: &Pair, table: &mut Table) -> Result<u64, Error> {
    let in_upgrades = upgrades::run(pair, table)?;
    let in_restarts = restarts::run(pair, table)?;
    Ok(in_upgrades + in_restarts + mixed::run(pair, table)?)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(pair) = Pair::from_arguments(&arguments) else {
        eprintln!("{USAGE}");
        return ExitCode::from(WRONG_CALL);
    };
    let mut table = Table::default();
    let done = run(&pair, &mut table);
    let verdict = table.print();
    match &done {
        Ok(requests) => println!("proof compatibility: {requests} requests, {verdict}"),
        Err(error) => println!("proof compatibility: {error}: OUT OF BOUNDS"),
    }
    if done.is_ok() { verdict.into() } else { ExitCode::FAILURE }
}
