//! The part in which half of a cluster runs the old build, and the other half the new one.

use crate::build_pair::BuildPair;
use crate::schedules::{add_convergence, request_count, run_and_report, schedule, version_proposed};
use crate::versions::{last_versions, proposed_versions};
use fault_injection::history::{Record, Span};
use fault_injection::schedule::{Form, Schedule, SiteOptions};
use fault_injection::site::JOB_PERIOD_MS;
use std::collections::BTreeSet;
use system_tests::{Error, JobRuns, Table};

const GATEKEEPERS: usize = 6;
const JOBS: usize = 8;
const LENGTH_MS: u64 = 14_000;
/// Time from which all periodic jobs are expected to run.
const ALL_JOBS_RUN_FROM_MS: u64 = 4_000;
/// Minimum number of runs, as a share of the scheduled runs.
const MIN_RUN_SHARE: f64 = 0.95;
/// The last version that is proposed.
const LAST_VERSION: u64 = 2;

/// Runs the schedule, adds its figures to the table, and returns the number of requests.
pub(crate) fn run(builds: &BuildPair, table: &mut Table) -> Result<u64, Error> {
    let result = run_and_report(&mixed_schedule(), builds.by_gatekeeper(), table)?;
    // The schedule starts once all gatekeepers see each other. If they never do, a checker reports a violation.
    add_convergence("mixed", &result, table);
    add_job_runs(&result.history, table);
    add_versions(&result.history, table);
    Ok(request_count(&result))
}

fn mixed_schedule() -> Schedule {
    Schedule {
        options: SiteOptions { replicas: 3, jobs: JOBS, standbys: GATEKEEPERS - 1, ..SiteOptions::default() },
        faults: vec![version_proposed(5_000, "m4", 16.0), version_proposed(8_000, "m5", 12.0)],
        ..schedule("mixed", Form::Appliance, GATEKEEPERS, LENGTH_MS)
    }
}

fn add_job_runs(history: &[Record], table: &mut Table) {
    let all_runs = JobRuns::of(history);
    let start_us = history.first().map_or(0, |record| record.at_us);
    let runs = all_runs.within(Span { from_us: start_us + 1_000 * ALL_JOBS_RUN_FROM_MS, to_us: u64::MAX });
    let scheduled_runs = JOBS as f64 * (LENGTH_MS - ALL_JOBS_RUN_FROM_MS) as f64 / JOB_PERIOD_MS as f64;
    table.add_with_minimum(
        "mixed: runs of periodic jobs",
        runs.count() as f64,
        MIN_RUN_SHARE * scheduled_runs,
    );
    table.add_with_maximum("mixed: runs of a period that had run", runs.repeated() as f64, 0.0);

    let (on_old, on_new): (BTreeSet<&str>, BTreeSet<&str>) =
        all_runs.instances().into_iter().partition(|instance| runs_old_build(instance));
    let name = "mixed: instances of the old build that ran jobs";
    table.add_with_minimum(name, on_old.len() as f64, 1.0);
    let name = "mixed: instances of the new build that ran jobs";
    table.add_with_minimum(name, on_new.len() as f64, 1.0);
}

/// Returns whether [`BuildPair::by_gatekeeper`] assigns the old build to an instance.
fn runs_old_build(instance: &str) -> bool {
    let number = instance.strip_prefix('m').and_then(|number| number.parse::<usize>().ok());
    number.is_some_and(|number| number.is_multiple_of(2))
}

fn add_versions(history: &[Record], table: &mut Table) {
    let versions = proposed_versions(history);
    table.add("mixed: versions proposed, by each build", format!("{versions:?}"));
    let on_last_version = last_versions(history).into_values().filter(|version| *version == LAST_VERSION);
    let name = "mixed: instances that act on the last version";
    table.add_with_minimum(name, on_last_version.count() as f64, GATEKEEPERS as f64);
}
