//! One seeded fault in a child process. The gatekeepers inherit from its environment the name of the fault.

use crate::schedules::schedules_until_reported;
use crate::seeded_fault::{SEEDED_FAULTS, SeededFault};
use seeded_faults::FAULT_VARIABLE;
use std::path::Path;
use std::process::{Command, ExitCode};

/// Runs a seeded fault in a child process. Returns how many schedules it took until its rule was reported.
pub(crate) fn run(build: &str, fault: &SeededFault) -> Option<usize> {
    let program = std::env::current_exe().ok()?;
    let output =
        Command::new(program).args([build, fault.name]).env(FAULT_VARIABLE, fault.name).output().ok()?;
    String::from_utf8_lossy(&output.stdout).lines().last()?.parse().ok()
}

/// The child process: prints how many schedules it took until the rule of the fault was reported.
pub(crate) fn main(build: &Path, fault_name: &str) -> ExitCode {
    let fault = SEEDED_FAULTS.iter().find(|fault| fault.name == fault_name);
    let rule = fault.map_or("", |fault| fault.rule);
    match schedules_until_reported(build, rule) {
        Some(schedules) => {
            println!("{schedules}");
            ExitCode::SUCCESS
        }
        None => ExitCode::FAILURE,
    }
}
