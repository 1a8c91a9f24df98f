//! The moments at which jobs are attempted next.

use std::collections::{BTreeSet, HashMap};

/// The next attempt of each job, at most one per job. Jobs are identified by their index in the scheduler.
#[derive(Debug, Default)]
pub(super) struct AttemptQueue {
    by_time: BTreeSet<DueAttempt>,
    /// The due moment of each job in `by_time`.
    due_unix_ms: HashMap<usize, u64>,
}

/// An attempt of a job, ordered by its due moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueAttempt {
    due_unix_ms: u64,
    job_index: usize,
}

impl AttemptQueue {
    /// Schedules the next attempt of a job in place of the one scheduled before.
    pub(super) fn schedule(&mut self, job_index: usize, due_unix_ms: u64) {
        self.cancel(job_index);
        self.due_unix_ms.insert(job_index, due_unix_ms);
        self.by_time.insert(DueAttempt { due_unix_ms, job_index });
    }

    /// Cancels the next attempt of a job.
    pub(super) fn cancel(&mut self, job_index: usize) {
        if let Some(due_unix_ms) = self.due_unix_ms.remove(&job_index) {
            self.by_time.remove(&DueAttempt { due_unix_ms, job_index });
        }
    }

    /// Cancels all attempts.
    pub(super) fn clear(&mut self) {
        self.by_time.clear();
        self.due_unix_ms.clear();
    }

    /// Returns the moment of the next attempt of any job.
    pub(super) fn next_due_unix_ms(&self) -> Option<u64> {
        self.by_time.first().map(|attempt| attempt.due_unix_ms)
    }

    /// Removes the next attempt that is due and returns the index of its job.
    pub(super) fn pop_due(&mut self, now_unix_ms: u64) -> Option<usize> {
        if self.next_due_unix_ms()? > now_unix_ms {
            return None;
        }
        let attempt = self.by_time.pop_first()?;
        self.due_unix_ms.remove(&attempt.job_index);
        Some(attempt.job_index)
    }
}

#[cfg(test)]
mod tests;
