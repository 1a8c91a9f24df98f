//! The times at which the next runs of the jobs are attempted.

use std::collections::{BTreeSet, HashMap};
use timestamps::UnixTime;

/// The next attempt of each job, at most one per job. Jobs are identified by their index in the scheduler.
#[derive(Debug, Default)]
pub(super) struct AttemptQueue {
    by_time: BTreeSet<DueAttempt>,
    /// The due time of each attempt in `by_time`, by the index of its job.
    due_at_by_job: HashMap<usize, UnixTime>,
}

/// The next attempt of a job. Attempts are ordered by their due times, then by their job indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueAttempt {
    due_at: UnixTime,
    job_index: usize,
}

impl AttemptQueue {
    /// Schedules the next attempt of a job. Replaces the job's scheduled attempt, if there is one.
    pub(super) fn schedule(&mut self, job_index: usize, due_at: UnixTime) {
        self.cancel(job_index);
        self.due_at_by_job.insert(job_index, due_at);
        self.by_time.insert(DueAttempt { due_at, job_index });
    }

    /// Cancels the next attempt of a job, if one is scheduled.
    pub(super) fn cancel(&mut self, job_index: usize) {
        if let Some(due_at) = self.due_at_by_job.remove(&job_index) {
            self.by_time.remove(&DueAttempt { due_at, job_index });
        }
    }

    /// Cancels the attempts of all jobs.
    pub(super) fn clear(&mut self) {
        self.by_time.clear();
        self.due_at_by_job.clear();
    }

    /// Returns the due time of the earliest scheduled attempt.
    pub(super) fn next_due(&self) -> Option<UnixTime> {
        self.by_time.first().map(|attempt| attempt.due_at)
    }

    /// Returns the job of the earliest attempt if that attempt is due.
    pub(super) fn first_due(&self, now: UnixTime) -> Option<usize> {
        self.by_time.first().filter(|attempt| attempt.due_at <= now).map(|attempt| attempt.job_index)
    }
}

#[cfg(test)]
mod tests;
