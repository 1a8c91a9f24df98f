//! Running schedules of the fault-injection harness.

use crate::Error;
use crate::parallel::for_each_parallel;
use fault_harness::sync::lock;
use fault_injection::builds::Builds;
use fault_injection::runner::{self, RunResult};
use fault_injection::schedule::Schedule;
use std::sync::Mutex;

/// Runs a schedule in a temporary folder whose name starts with `folder_name`, and removes the folder at the end.
///
/// # Errors
///
/// Returns an error if the site could not be started.
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

/// Totals that are accumulated over the results of many schedules.
pub trait ScheduleTotals: Default + Send {
    /// Adds the result of a schedule that ran to its end.
    fn add(&mut self, schedule: &Schedule, result: &RunResult);

    /// Counts a schedule as failed. [`run_schedules`] calls this for each schedule that could not be run.
    fn add_failure(&mut self, schedule: &Schedule);
}

/// Calls `run` with the index of each schedule and the schedule, up to `parallelism` of them at a time, and returns the totals.
/// Prints the error of each schedule that could not be run.
pub fn run_schedules<T: ScheduleTotals>(
    schedules: &[Schedule],
    parallelism: usize,
    run: impl Fn(usize, &Schedule) -> Result<RunResult, Error> + Sync,
) -> T {
    let totals = Mutex::new(T::default());
    for_each_parallel(schedules, parallelism, |index, schedule| {
        let result = run(index, schedule);
        let mut totals = lock(&totals);
        match result {
            Ok(result) => totals.add(schedule, &result),
            Err(error) => {
                println!("{}: {error}", schedule.name);
                totals.add_failure(schedule);
            }
        }
    });
    totals.into_inner().unwrap_or_default()
}
