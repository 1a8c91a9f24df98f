//! Missed runs, gaps between runs and take-over times of periodic jobs.

use fault_injection::history::Span;
use fault_injection::site::JOB_PERIOD_MS;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use system_tests::JobRuns;

/// Maximum time without a run at the start or at the end of a span, in periods. A longer time counts as missed runs.
const MAX_LATE_PERIODS: f64 = 1.6;

/// The runs of one job within a span.
struct RunsOfJob {
    /// The numbers of the runs, which grow by [`JOB_PERIOD_MS`] from one run to the next.
    run_numbers: BTreeSet<u64>,
    first_run_us: u64,
    last_run_us: u64,
}

impl RunsOfJob {
    /// Returns the maximum number of consecutive missing runs, including those at the start and at the end of the span.
    fn max_missed(&self, span: Span) -> f64 {
        let run_numbers: Vec<u64> = self.run_numbers.iter().copied().collect();
        let missing_between = |pair: &[u64]| (pair[1] - pair[0]) / JOB_PERIOD_MS - 1;
        let between_runs = run_numbers.windows(2).map(missing_between).max().unwrap_or(0);
        let idle_us = (self.first_run_us - span.from_us).max(span.to_us - self.last_run_us);
        let at_span_ends = (periods(idle_us) - MAX_LATE_PERIODS).max(0.0).ceil();
        (between_runs as f64).max(at_span_ends)
    }
}

/// Returns the maximum number of consecutive runs that any of these jobs misses within a span. A job that does not run at all
/// misses as many runs as the span has periods.
pub(crate) fn max_missed_runs(runs: &JobRuns<'_>, jobs: &BTreeSet<String>, span: Span) -> f64 {
    let runs = runs.within(span);
    let mut by_job: BTreeMap<&str, RunsOfJob> = BTreeMap::new();
    for run in runs.iter() {
        let no_runs =
            RunsOfJob { run_numbers: BTreeSet::new(), first_run_us: run.at_us, last_run_us: run.at_us };
        let runs_of_job = by_job.entry(run.job).or_insert(no_runs);
        runs_of_job.run_numbers.insert(run.run);
        runs_of_job.last_run_us = run.at_us;
    }
    let missed = |job: &String| match by_job.get(job.as_str()) {
        Some(runs_of_job) => runs_of_job.max_missed(span),
        None => periods(span.to_us - span.from_us),
    };
    jobs.iter().map(missed).fold(0.0, f64::max)
}

/// Returns the maximum time between two consecutive runs of the same job within a span.
pub(crate) fn longest_gap(runs: &JobRuns<'_>, span: Span) -> Duration {
    let runs = runs.within(span);
    let mut last_us: BTreeMap<&str, u64> = BTreeMap::new();
    let gaps_us = runs.iter().filter_map(|run| Some(run.at_us - last_us.insert(run.job, run.at_us)?));
    Duration::from_micros(gaps_us.max().unwrap_or(0))
}

/// Returns the take-over times of the jobs that lose their instance at `gone_us`: those whose last run before this time was on
/// one of `gone_instances`. A take-over time lasts from `gone_us` to the next run of the job and is `None` if the job does not
/// run again. The jobs are in the order of their names.
pub(crate) fn take_over_times(
    runs: &JobRuns<'_>,
    gone_us: u64,
    gone_instances: &[String],
) -> Vec<Option<Duration>> {
    let mut last_instances: BTreeMap<&str, &str> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.at_us < gone_us) {
        last_instances.insert(run.job, run.instance);
    }
    let is_gone = |instance: &str| gone_instances.iter().any(|gone| gone == instance);
    let orphaned_jobs = last_instances.into_iter().filter(|(_, instance)| is_gone(instance));
    orphaned_jobs.map(|(job, _)| next_run_after(runs, job, gone_us)).collect()
}

/// Returns the time from `from_us` until all of these jobs have run again, or `None` if one of them does not.
pub(crate) fn all_run_again_after(
    runs: &JobRuns<'_>,
    jobs: &BTreeSet<String>,
    from_us: u64,
) -> Option<Duration> {
    let times: Option<Vec<Duration>> = jobs.iter().map(|job| next_run_after(runs, job, from_us)).collect();
    times.map(|times| times.into_iter().max().unwrap_or_default())
}

fn next_run_after(runs: &JobRuns<'_>, job: &str, from_us: u64) -> Option<Duration> {
    let next = runs.iter().find(|run| run.job == job && run.at_us > from_us)?;
    Some(Duration::from_micros(next.at_us - from_us))
}

/// Converts a duration from microseconds to job periods.
fn periods(duration_us: u64) -> f64 {
    duration_us as f64 / (1_000 * JOB_PERIOD_MS) as f64
}

#[cfg(test)]
mod tests;
