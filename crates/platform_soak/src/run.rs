//! Runs one schedule and checks its history.

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

/// Time after the end of the site until the history is read, in which the stand-ins record the end of open attempts.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Result of running a schedule.
#[derive(Debug)]
pub struct Verdict {
    /// Violations that the checkers have found; empty if all invariants hold.
    pub violations: Vec<Violation>,
    /// The history that was checked.
    pub history: History,
}

/// Runs a schedule and checks its history. The gatekeepers' files are written to `directory`.
///
/// # Errors
///
/// The site cannot be started.
pub fn run(schedule: &Schedule, program: &Program, directory: &Path) -> io::Result<Verdict> {
    let site = Site::start(schedule.seed, schedule.settings.clone(), program, directory)?;
    site.start_clients()?;
    fault_runner::run(&site, schedule);
    site.stop();
    std::thread::sleep(SETTLE_TIME);
    let history = site.recorder.snapshot();
    let violations = checkers::check_all(&history, &schedule.settings);
    Ok(Verdict { violations, history })
}
