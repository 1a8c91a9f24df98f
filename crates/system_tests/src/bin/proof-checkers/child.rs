//! Runs one seeded fault in a child process. The name of the fault is in the environment of the child, from which its gatekeepers
//! inherit it.

use crate::schedules::schedules_until_reported;
use crate::seeded_fault::{SEEDED_FAULTS, SeededFault};
use seeded_faults::FAULT_VARIABLE;
use std::path::Path;
use std::process::{Command, ExitCode};

/// Runs a seeded fault in a child process. Returns the number of schedules that ran until the rule that the fault breaks was
/// reported, or `None` if it was not reported or the child failed.
pub(crate) fn run(build: &str, fault: &SeededFault) -> Option<usize> {
    let program = std::env::current_exe().ok()?;
    let output =
        Command::new(program).args([build, fault.name]).env(FAULT_VARIABLE, fault.name).output().ok()?;
    String::from_utf8_lossy(&output.stdout).lines().last()?.parse().ok()
}

/// The main function of the child process. Prints the number of schedules that ran until the rule that the fault breaks was
/// reported.
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
