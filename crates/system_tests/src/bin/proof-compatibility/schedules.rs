//! Code that the schedules of all parts share.

use fault_injection::builds::Builds;
use fault_injection::runner::RunResult;
use fault_injection::schedule::{Fault, FaultKind, Form, Schedule, SiteOptions};
use system_tests::{Error, Table, run_schedule};

const BACKENDS: usize = 3;

/// Returns the schedule of the part with this name, with default options and without faults.
pub(crate) fn schedule(name: &str, form: Form, gatekeepers: usize, length_ms: u64) -> Schedule {
    Schedule {
        name: name.into(),
        seed: 1,
        form,
        gatekeepers,
        backends: BACKENDS,
        length_ms,
        options: SiteOptions::default(),
        faults: Vec::new(),
    }
}

/// Returns the proposal of a new version of the replicated configuration at a gatekeeper.
pub(crate) fn version_proposed(start_ms: u64, target: &str, units_per_second: f64) -> Fault {
    Fault::from_millis(start_ms, 0, FaultKind::VersionProposed { target: target.into(), units_per_second })
}

/// Runs a schedule and adds its violations to the table.
pub(crate) fn run_and_report(
    schedule: &Schedule,
    builds: Builds,
    table: &mut Table,
) -> Result<RunResult, Error> {
    let name = &schedule.name;
    let result = run_schedule(schedule, builds, "sf-compat")
        .map_err(|source| Error::Schedule { schedule: name.clone(), source })?;
    table.add_violations(&format!("{name}: "), &result.violations);
    table.add_with_maximum(&format!("{name}: rules broken"), result.violations.len() as f64, 0.0);
    Ok(result)
}

/// Adds the time from the end of the last fault until all gatekeepers agreed to the table.
pub(crate) fn add_convergence(schedule_name: &str, result: &RunResult, table: &mut Table) {
    let time = result.converged_after_ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
    table.add(&format!("{schedule_name}: all agree after the last fault"), time);
}

/// Returns the number of requests in a run of a schedule.
pub(crate) fn request_count(result: &RunResult) -> u64 {
    result.outcomes.values().sum()
}
