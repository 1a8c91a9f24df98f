//! Counters of a simulation, and a log of the started runs.

use job_lease::RunId;
use periodic_jobs::Run;
use std::collections::HashMap;
use std::time::Duration;
use timestamps::{UnixTime, whole_millis};

/// Counters since the start of the simulation.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Compare-and-set writes that reached the store.
    pub writes: u64,
    /// Writes that the store applied. The others failed the comparison, or their session had ended.
    pub writes_applied: u64,
    /// Reads of leases that reached the store.
    pub reads: u64,
    /// Datagrams sent, including lost ones.
    pub datagrams: u64,
    /// Bytes sent in datagrams, including lost ones.
    pub datagram_bytes: u64,
    /// Starts of runs. A run that starts twice counts twice.
    pub runs: u64,
    /// Runs that started more than once.
    pub repeated_runs: u64,
    /// Runs that did not start because their deadline had passed.
    pub late_runs: u64,
}

/// The last run of a job and the longest gap between two of its runs.
#[derive(Debug)]
struct JobGap {
    last_run: RunId,
    /// The maximum number of consecutive missed runs since the last reset.
    longest: u64,
}

/// Identifies a run among the runs of all jobs.
#[derive(Debug, PartialEq, Eq, Hash)]
struct JobRun {
    job: String,
    run: RunId,
}

/// The started runs of all jobs.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    /// The number of starts of each run.
    starts: HashMap<JobRun, u32>,
    gaps: HashMap<String, JobGap>,
}

impl RunLog {
    /// Records the start of a run.
    pub(crate) fn record(&mut self, run: Run, period: Duration) {
        let gap = self.gaps.entry(run.job.clone()).or_insert(JobGap { last_run: run.id, longest: 0 });
        let periods = periods_between(gap.last_run.into(), run.id.into(), period);
        let missed = periods.saturating_sub(1);
        gap.longest = gap.longest.max(missed);
        gap.last_run = run.id;
        *self.starts.entry(JobRun { job: run.job, run: run.id }).or_default() += 1;
    }

    /// Returns the number of runs that started more than once.
    pub(crate) fn repeated(&self) -> u64 {
        self.starts.values().filter(|&&starts| starts > 1).count() as u64
    }

    /// Returns the maximum number of consecutive runs that a job has missed since the last reset. Returns `u64::MAX` for a job
    /// that has never run.
    pub(crate) fn longest_gap(&self, job: &str, now: UnixTime, period: Duration) -> u64 {
        let Some(gap) = self.gaps.get(job) else { return u64::MAX };
        // Neither the current nor the previous period counts: the current run may still start, and the previous one may be late.
        let missed = periods_between(gap.last_run.into(), now, period).saturating_sub(2);
        gap.longest.max(missed)
    }

    /// Resets the longest gaps of all jobs.
    pub(crate) fn reset_gaps(&mut self) {
        self.gaps.values_mut().for_each(|gap| gap.longest = 0);
    }
}

/// Returns the number of complete periods between two points in time.
fn periods_between(earlier: UnixTime, later: UnixTime, period: Duration) -> u64 {
    whole_millis(later.saturating_since(earlier)) / whole_millis(period)
}
