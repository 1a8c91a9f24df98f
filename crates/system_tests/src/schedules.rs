//! Schedules of the fault-injection harness, each in a folder of its own.

use fault_injection::builds::Builds;
use fault_injection::runner::{self, RunResult};
use fault_injection::schedule::Schedule;

/// Runs a schedule in a temporary folder of this name, which is removed at the end.
///
/// # Errors
///
/// The site could not be started.
pub fn run_schedule(
    schedule: &Schedule,
    builds: impl Into<Builds>,
    folder_name: &str,
) -> Result<RunResult, fault_injection::Error> {
    let folder = std::env::temp_dir().join(format!("{folder_name}-{}", std::process::id()));
    let result = runner::run(schedule, builds, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    result
}
