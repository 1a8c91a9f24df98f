//! Gaps between the runs of each job.

use fault_injection::history::Span;
use fault_injection::site::JOB_PERIOD_MS;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use system_tests::JobRuns;

/// A job that has not run for more periods than this at an end of a span has missed a run there.
const MAX_LATE_PERIODS: f64 = 1.6;

/// The runs of one job in a span.
struct RunsOfJob {
    numbers: BTreeSet<u64>,
    first_us: u64,
    last_us: u64,
}

impl RunsOfJob {
    /// Returns the maximum number of runs that are missing in a row, also at the ends of the span.
    fn max_missed(&self, span: Span) -> f64 {
        let numbers: Vec<u64> = self.numbers.iter().copied().collect();
        let missing = |pair: &[u64]| (pair[1] - pair[0]) / JOB_PERIOD_MS - 1;
        let between_runs = numbers.windows(2).map(missing).max().unwrap_or(0);
        let idle_us = (self.first_us - span.from_us).max(span.to_us - self.last_us);
        let at_an_end = (periods(idle_us) - MAX_LATE_PERIODS).max(0.0).ceil();
        (between_runs as f64).max(at_an_end)
    }
}

/// Returns the maximum number of runs in a row that one of these jobs misses in a span. A job that does not run at all misses as
/// many runs as the span has periods.
pub(crate) fn max_missed_runs(runs: &JobRuns<'_>, jobs: &BTreeSet<String>, span: Span) -> f64 {
    let runs = runs.within(span);
    let mut by_job: BTreeMap<&str, RunsOfJob> = BTreeMap::new();
    for run in runs.iter() {
        let first = RunsOfJob { numbers: BTreeSet::new(), first_us: run.at_us, last_us: run.at_us };
        let of_job = by_job.entry(run.job).or_insert(first);
        of_job.numbers.insert(run.run);
        of_job.last_us = run.at_us;
    }
    let missed = |job: &String| match by_job.get(job.as_str()) {
        Some(of_job) => of_job.max_missed(span),
        None => periods(span.to_us - span.from_us),
    };
    jobs.iter().map(missed).fold(0.0, f64::max)
}

/// Returns the maximum time between two runs of a job in a span.
pub(crate) fn longest_gap(runs: &JobRuns<'_>, span: Span) -> Duration {
    let runs = runs.within(span);
    let mut last_us: BTreeMap<&str, u64> = BTreeMap::new();
    let gaps_us = runs.iter().filter_map(|run| Some(run.at_us - last_us.insert(run.job, run.at_us)?));
    Duration::from_micros(gaps_us.max().unwrap_or(0))
}

/// Returns, for each job whose last run before a time was on one of the instances that are gone, the time until its next run, or
/// `None` if it does not run again. The jobs are in the order of their names.
pub(crate) fn take_over_times(
    runs: &JobRuns<'_>,
    at_us: u64,
    gone_instances: &[String],
) -> Vec<Option<Duration>> {
    let mut last_instances: BTreeMap<&str, &str> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.at_us < at_us) {
        last_instances.insert(run.job, run.instance);
    }
    let is_gone = |instance: &str| gone_instances.iter().any(|gone| gone == instance);
    let orphaned_jobs = last_instances.into_iter().filter(|(_, instance)| is_gone(instance));
    orphaned_jobs.map(|(job, _)| runs_again_after(runs, job, at_us)).collect()
}

/// Returns the time from `at_us` until the last of these jobs has run again, or `None` if one of them does not.
pub(crate) fn all_run_again_after(
    runs: &JobRuns<'_>,
    jobs: &BTreeSet<String>,
    at_us: u64,
) -> Option<Duration> {
    let times: Option<Vec<Duration>> = jobs.iter().map(|job| runs_again_after(runs, job, at_us)).collect();
    times.map(|times| times.into_iter().max().unwrap_or_default())
}

fn runs_again_after(runs: &JobRuns<'_>, job: &str, at_us: u64) -> Option<Duration> {
    let next = runs.iter().find(|run| run.job == job && run.at_us > at_us)?;
    Some(Duration::from_micros(next.at_us - at_us))
}

/// Converts a time in microseconds to periods of the jobs.
fn periods(us: u64) -> f64 {
    us as f64 / (1_000 * JOB_PERIOD_MS) as f64
}

#[cfg(test)]
mod tests;
