//! Runs of periodic jobs in a history.

use fault_injection::history::{Observation, Record, Span};
use std::collections::BTreeSet;

/// A run of a job, as recorded by the target that the job calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobRun<'a> {
    /// When the run reached the target, in microseconds of the history.
    pub at_us: u64,
    /// The name of the job, as in the settings.
    pub job: &'a str,
    /// The number of the run, which is also the fencing token of its call.
    pub run: u64,
    /// The name of the instance that ran the job.
    pub instance: &'a str,
}

/// Runs of periodic jobs, in the order in which they reached their targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRuns<'a> {
    runs: Vec<JobRun<'a>>,
}

impl<'a> JobRuns<'a> {
    /// Returns the runs that a history recorded at the target of the jobs.
    pub fn of(history: &'a [Record]) -> Self {
        Self { runs: history.iter().filter_map(job_run).collect() }
    }

    /// Returns the runs within a span, including both of its ends.
    pub fn within(&self, span: Span) -> Self {
        let is_within = |run: &&JobRun<'_>| run.at_us >= span.from_us && run.at_us <= span.to_us;
        Self { runs: self.runs.iter().filter(is_within).copied().collect() }
    }

    /// Iterates over the runs in the order in which they reached their targets.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &JobRun<'a>> {
        self.runs.iter()
    }

    /// Returns the number of runs, including repeated ones.
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of duplicate runs: runs of a job with a number that the same or another instance has already run.
    pub fn repeated(&self) -> usize {
        let distinct: BTreeSet<(&str, u64)> = self.iter().map(|run| (run.job, run.run)).collect();
        self.count() - distinct.len()
    }

    /// Returns the names of the instances that ran jobs.
    pub fn instances(&self) -> BTreeSet<&'a str> {
        self.iter().map(|run| run.instance).collect()
    }
}

fn job_run(record: &Record) -> Option<JobRun<'_>> {
    let Observation::JobRan { job, run, instance } = &record.observation else { return None };
    Some(JobRun { at_us: record.at_us, job, run: *run, instance })
}

#[cfg(test)]
mod tests;
