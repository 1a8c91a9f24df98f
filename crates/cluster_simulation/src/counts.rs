//! What is counted.

use job_lease::RunId;
use periodic_jobs::Run;
use std::collections::HashMap;

/// Counts since the start of the simulation.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Compare-and-sets that reached the store.
    pub writes: u64,
    /// Those of them that were applied.
    pub writes_applied: u64,
    /// Reads of the store.
    pub reads: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their bytes.
    pub datagram_bytes: u64,
    /// Runs that were started.
    pub runs: u64,
    /// Runs that were started more than once.
    pub repeated_runs: u64,
    /// Runs whose deadline had passed when they were to start.
    pub late_runs: u64,
}

/// The last run of a job, and the longest gap between two of its runs.
#[derive(Debug)]
struct JobGap {
    last_run: RunId,
    /// The most runs missed in a row since the last reset.
    longest: u64,
}

/// The runs of all jobs.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    /// How often each run of each job was started.
    starts: HashMap<(String, RunId), u32>,
    gaps: HashMap<String, JobGap>,
}

impl RunLog {
    pub(crate) fn record(&mut self, run: Run, period_ms: u64) {
        let gap = self.gaps.entry(run.job.clone()).or_insert(JobGap { last_run: run.id, longest: 0 });
        let missed = missed_runs(gap.last_run, run.id.scheduled_unix_ms(), period_ms).saturating_sub(1);
        gap.longest = gap.longest.max(missed);
        gap.last_run = run.id;
        *self.starts.entry((run.job, run.id)).or_default() += 1;
    }

    /// Runs that were started more than once.
    pub(crate) fn repeated(&self) -> u64 {
        self.starts.values().filter(|&&starts| starts > 1).count() as u64
    }

    /// The most runs that a job has missed in a row since the last reset; `u64::MAX` where it has never run.
    pub(crate) fn longest_gap(&self, job: &str, now_unix_ms: u64, period_ms: u64) -> u64 {
        let Some(gap) = self.gaps.get(job) else { return u64::MAX };
        // The present run may be still to come, and the one before may be late.
        gap.longest.max(missed_runs(gap.last_run, now_unix_ms, period_ms).saturating_sub(2))
    }

    pub(crate) fn reset_gaps(&mut self) {
        self.gaps.values_mut().for_each(|gap| gap.longest = 0);
    }
}

/// The periods between a run and a time.
fn missed_runs(run: RunId, unix_ms: u64, period_ms: u64) -> u64 {
    unix_ms.saturating_sub(run.scheduled_unix_ms()) / period_ms
}
