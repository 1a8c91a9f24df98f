//! The moments at which jobs are attempted next.

use std::collections::{BTreeSet, HashMap};
use timestamps::UnixTime;

/// The next attempt of each job, at most one per job. Jobs are identified by their index in the scheduler.
#[derive(Debug, Default)]
pub(super) struct AttemptQueue {
    by_time: BTreeSet<DueAttempt>,
    /// The due moment of each job in `by_time`.
    due_at: HashMap<usize, UnixTime>,
}

/// An attempt of a job, ordered by its due moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueAttempt {
    due_at: UnixTime,
    job_index: usize,
}

impl AttemptQueue {
    /// Schedules the next attempt of a job in place of the one scheduled before.
    pub(super) fn schedule(&mut self, job_index: usize, due_at: UnixTime) {
        self.cancel(job_index);
        self.due_at.insert(job_index, due_at);
        self.by_time.insert(DueAttempt { due_at, job_index });
    }

    /// Cancels the next attempt of a job.
    pub(super) fn cancel(&mut self, job_index: usize) {
        if let Some(due_at) = self.due_at.remove(&job_index) {
            self.by_time.remove(&DueAttempt { due_at, job_index });
        }
    }

    /// Cancels all attempts.
    pub(super) fn clear(&mut self) {
        self.by_time.clear();
        self.due_at.clear();
    }

    /// Returns the moment of the next attempt of any job.
    pub(super) fn next_due(&self) -> Option<UnixTime> {
        self.by_time.first().map(|attempt| attempt.due_at)
    }

    /// Removes the next attempt that is due and returns the index of its job.
    pub(super) fn pop_due(&mut self, now: UnixTime) -> Option<usize> {
        if self.next_due()? > now {
            return None;
        }
        let attempt = self.by_time.pop_first()?;
        self.due_at.remove(&attempt.job_index);
        Some(attempt.job_index)
    }
}

#[cfg(test)]
mod tests;
