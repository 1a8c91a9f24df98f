//! One schedule, from its start to its verdict.

use crate::checkers::{self, Violation};
use crate::gatekeeper::Program;
use crate::history::Records;
use crate::schedule::Schedule;
use crate::site::Site;
use crate::troubles;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Open requests have ended by then.
const SETTLING: Duration = Duration::from_millis(300);

/// What a schedule has shown.
#[derive(Debug)]
pub struct Verdict {
    /// Broken invariants.
    pub violations: Vec<Violation>,
    /// What happened.
    pub records: Records,
}

/// Plays a schedule and judges it. The files of its gatekeepers lie in this directory.
///
/// # Errors
///
/// The site cannot be started.
pub fn run(schedule: &Schedule, program: &Program, directory: &Path) -> io::Result<Verdict> {
    let site = Arc::new(Site::start(schedule.seed, schedule.settings.clone(), program, directory)?);
    site.start_clients()?;
    troubles::play(&site, schedule);
    site.stop();
    std::thread::sleep(SETTLING);
    let records = site.history.snapshot();
    let violations = checkers::check_all(&records, &schedule.settings);
    Ok(Verdict { violations, records })
}
