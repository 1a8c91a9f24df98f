//! Runs of periodic jobs in a history.

use fault_injection::history::{Observation, Record, Span};
use fault_injection::site::JOB_PERIOD_MS;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use system_tests::seconds;

/// A job that is late by more periods than this at an end of a span has missed a run there.
const MAX_LATE_PERIODS: f64 = 1.6;

/// From the begin of the first of these faults to the end of the last.
pub(crate) fn span_of_faults(history: &[Record], indexes: &Range<usize>) -> Span {
    let times = |wanted: bool| {
        history.iter().filter_map(move |record| match record.observation {
            Observation::Fault { index, begins, .. } if begins == wanted && indexes.contains(&index) => {
                Some(record.at_us)
            }
            _ => None,
        })
    };
    Span { from_us: times(true).min().unwrap_or(0), to_us: times(false).max().unwrap_or(0) }
}

/// A run of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobRun<'a> {
    pub(crate) at_us: u64,
    pub(crate) job: &'a str,
    run: u64,
    instance: &'a str,
}

/// The runs of one job in a span.
struct RunsOfJob {
    numbers: BTreeSet<u64>,
    first_us: u64,
    last_us: u64,
}

/// All runs of a history.
pub(crate) struct JobRuns<'a>(Vec<JobRun<'a>>);

impl<'a> JobRuns<'a> {
    pub(crate) fn of(history: &'a [Record]) -> Self {
        let run = |record: &'a Record| match &record.observation {
            Observation::JobRan { job, run, instance } => {
                Some(JobRun { at_us: record.at_us, job, run: *run, instance })
            }
            _ => None,
        };
        Self(history.iter().filter_map(run).collect())
    }

    pub(crate) fn count(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn within(&self, span: Span) -> impl Iterator<Item = &JobRun<'a>> {
        self.0.iter().filter(move |run| run.at_us >= span.from_us && run.at_us <= span.to_us)
    }

    /// The most runs in a row that one of these jobs misses in a span.
    pub(crate) fn missed(&self, jobs: &BTreeSet<String>, span: Span) -> f64 {
        let mut by_job: BTreeMap<&str, RunsOfJob> = BTreeMap::new();
        for &JobRun { at_us, job, run, .. } in self.within(span) {
            let none = RunsOfJob { numbers: BTreeSet::new(), first_us: at_us, last_us: at_us };
            let runs = by_job.entry(job).or_insert(none);
            runs.numbers.insert(run);
            runs.last_us = at_us;
        }
        let missed = |job: &String| match by_job.get(job.as_str()) {
            Some(runs) => runs.missed(span),
            None => periods(span.to_us - span.from_us),
        };
        jobs.iter().map(missed).fold(0.0, f64::max)
    }

    /// The longest time between two runs of a job in a span, s.
    pub(crate) fn longest_gap(&self, span: Span) -> f64 {
        let mut last: BTreeMap<&str, u64> = BTreeMap::new();
        let gaps = self.within(span).filter_map(|run| Some(run.at_us - last.insert(run.job, run.at_us)?));
        seconds(gaps.max().unwrap_or(0))
    }

    /// For each job that one of these instances ran last before a time: how long until it ran again, s, sorted.
    pub(crate) fn take_over_times(&self, at_us: u64, gone: &[String]) -> Vec<f64> {
        let jobs: BTreeSet<&str> = self.0.iter().map(|run| run.job).collect();
        let last_before = |job: &str| self.0.iter().rev().find(|run| run.job == job && run.at_us < at_us);
        let was_theirs = |job: &&str| {
            last_before(job).is_some_and(|run| gone.iter().any(|instance| instance == run.instance))
        };
        let mut times: Vec<f64> =
            jobs.into_iter().filter(was_theirs).map(|job| self.runs_again_after(job, at_us)).collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// How long after a time a job runs again, s.
    fn runs_again_after(&self, job: &str, at_us: u64) -> f64 {
        let next = self.0.iter().find(|run| run.job == job && run.at_us > at_us);
        next.map_or(f64::INFINITY, |run| seconds(run.at_us - at_us))
    }

    /// Until the last of these jobs runs again after a time, s.
    pub(crate) fn all_run_again_after(&self, jobs: &BTreeSet<String>, at_us: u64) -> f64 {
        jobs.iter().map(|job| self.runs_again_after(job, at_us)).fold(0.0, f64::max)
    }

    /// Runs that happened again.
    pub(crate) fn repeated(&self) -> usize {
        let distinct: BTreeSet<(&str, u64)> = self.0.iter().map(|run| (run.job, run.run)).collect();
        self.count() - distinct.len()
    }
}

impl RunsOfJob {
    /// The most runs in a row that are missing in a span, also at its ends.
    fn missed(&self, span: Span) -> f64 {
        let numbers: Vec<u64> = self.numbers.iter().copied().collect();
        let missing = |pair: &[u64]| (pair[1] - pair[0]) / JOB_PERIOD_MS - 1;
        let between = numbers.windows(2).map(missing).max().unwrap_or(0);
        let idle_us = (self.first_us - span.from_us).max(span.to_us - self.last_us);
        let at_an_end = (periods(idle_us) - MAX_LATE_PERIODS).max(0.0).ceil();
        (between as f64).max(at_an_end)
    }
}

/// A time in periods of jobs.
fn periods(us: u64) -> f64 {
    us as f64 / (1_000 * JOB_PERIOD_MS) as f64
}

#[cfg(test)]
mod tests;
