//! Tests whether two builds of the gatekeeper are compatible: `proof-compatibility OLD [NEW]`.
//!
//! The test has three parts, all under load and with the stand-ins of the other system tests:
//!
//! 1. The platform form is upgraded by hot restarts from the old build to the new one and back, several times.
//! 2. The appliance form is killed and restarted from its disks, each time with the other build: replicas recover the logs that
//!    the other build wrote, and gatekeepers load the endpoint list that it cached while Consul does not respond.
//! 3. Half of a cluster runs the old build, and the other half the new one.
//!
//! Exits with 1 if a rule is broken or a figure is out of bounds, and with 2 if the arguments are wrong.

mod build_pair;
mod mixed;
mod restarts;
mod schedules;
mod upgrades;
mod versions;

use build_pair::BuildPair;
use std::process::ExitCode;
use system_tests::{Error, Table};

const USAGE: &str =
    "proof-compatibility OLD [NEW]: two builds of snowfield; NEW is the release build beside this program";
/// Exit code if the arguments are wrong.
const WRONG_ARGUMENTS: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(builds) = BuildPair::from_arguments(&arguments) else {
        eprintln!("{USAGE}");
        return ExitCode::from(WRONG_ARGUMENTS);
    };
    let mut table = Table::default();
    let requests = run(&builds, &mut table);
    let verdict = table.print();
    match requests {
        Ok(requests) => {
            println!("proof compatibility: {requests} requests, {verdict}");
            verdict.into()
        }
        Err(error) => {
            println!("proof compatibility: {error}: OUT OF BOUNDS");
            ExitCode::FAILURE
        }
    }
}

/// Runs all three parts, adds their figures to the table, and returns the total number of requests.
fn run(builds: &BuildPair, table: &mut Table) -> Result<u64, Error> {
    let upgrade_requests = upgrades::run(builds, table)?;
    let restart_requests = restarts::run(builds, table)?;
    let mixed_requests = mixed::run(builds, table)?;
    Ok(upgrade_requests + restart_requests + mixed_requests)
}
