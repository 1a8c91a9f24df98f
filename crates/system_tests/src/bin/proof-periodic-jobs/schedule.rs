//! The instances and jobs of the site on which both schedules run.

use fault_injection::schedule::{Fault, Form, Schedule, SiteOptions};
use std::collections::BTreeSet;
use std::ops::Range;

pub(crate) const INSTANCES: usize = 8;
pub(crate) const JOBS: usize = 64;
/// The configured maximum difference between the clocks of two instances, ms.
pub(crate) const MAX_CLOCK_SKEW_MS: i64 = 300;
/// The lowest job number after the reload that changes the jobs.
pub(crate) const FIRST_CHANGED_JOB: usize = 16;
/// Number of jobs after the reload that changes them.
pub(crate) const CHANGED_JOBS: usize = JOBS - 12;

/// Returns a schedule for the appliance form that sends no requests.
pub(crate) fn schedule(name: &str, length_ms: u64, faults: Vec<Fault>) -> Schedule {
    let options = SiteOptions { jobs: JOBS, standbys: INSTANCES - 1, load: false, ..SiteOptions::default() };
    Schedule {
        name: name.into(),
        seed: 1,
        form: Form::Appliance,
        gatekeepers: INSTANCES,
        backends: 1,
        length_ms,
        options,
        faults,
    }
}

/// Returns the names of the jobs before the reload that changes them.
pub(crate) fn all_jobs() -> BTreeSet<String> {
    job_names(0..JOBS)
}

/// Returns the names of the jobs after the reload that changes them.
pub(crate) fn changed_jobs() -> BTreeSet<String> {
    job_names(FIRST_CHANGED_JOB..FIRST_CHANGED_JOB + CHANGED_JOBS)
}

fn job_names(numbers: Range<usize>) -> BTreeSet<String> {
    numbers.map(|number| format!("duty-{number}")).collect()
}

#[cfg(test)]
mod tests;
