//! One schedule, from its start to its verdict.

use crate::checkers;
use crate::fault_runner;
use crate::gatekeeper::Program;
use crate::history::History;
use crate::schedule::Schedule;
use crate::site::Site;
use fault_harness::violation::Violation;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Open requests have ended by then.
const SETTLING: Duration = Duration::from_millis(300);

/// Result of a schedule.
#[derive(Debug)]
pub struct Verdict {
    /// Invariants that were broken.
    pub violations: Vec<Violation>,
    /// What happened.
    pub history: History,
}

/// Runs a schedule and checks its history. The gatekeepers' files are written to this directory.
///
/// # Errors
///
/// The site cannot be started.
pub fn run(schedule: &Schedule, program: &Program, directory: &Path) -> io::Result<Verdict> {
    let site = Site::start(schedule.seed, schedule.settings.clone(), program, directory)?;
    site.start_clients()?;
    fault_runner::run(&site, schedule);
    site.stop();
    std::thread::sleep(SETTLING);
    let history = site.recorder.snapshot();
    let violations = checkers::check_all(&history, &schedule.settings);
    Ok(Verdict { violations, history })
}
