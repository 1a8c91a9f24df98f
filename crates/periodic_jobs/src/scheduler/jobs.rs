//! The jobs of a scheduler, and the queue of their attempts.

mod attempt_queue;
mod job_state;

pub use job_state::{JobStatus, LastRun, NextStep};

pub(super) use job_state::{JobState, Phase};

use crate::{CallId, Job};
use attempt_queue::AttemptQueue;
use std::collections::HashMap;
use std::ops::{Index, IndexMut, Range};
use timestamps::{UnixTime, whole_millis};

/// The jobs in the order in which they were set. A job is identified by its index in this order.
///
/// The queue of attempts is derived from the phases: it holds exactly the attempts of the jobs in [`Phase::Waiting`]. Phases
/// change only through [`Jobs::set_phase`] and [`Jobs::replace`], which keep the queue consistent. Each job therefore has a
/// call in flight or a queued attempt, except a job of which this instance is neither owner nor standby.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    states: Vec<JobState>,
    /// The index in `states` by job name.
    index_by_name: HashMap<String, usize>,
    attempts: AttemptQueue,
}

impl Jobs {
    /// Replaces the jobs. A job whose name remains keeps its state, its phase and its queued attempt. `new_state` creates the
    /// state of a new job. A job with a period below one millisecond, or with the name of an earlier job in the list, is
    /// ignored.
    pub(super) fn replace(&mut self, jobs: Vec<Job>, new_state: impl Fn(Job) -> JobState) {
        let mut previous: HashMap<String, JobState> =
            self.states.drain(..).map(|state| (state.job.name.clone(), state)).collect();
        self.index_by_name.clear();
        for job in jobs {
            if whole_millis(job.period) == 0 || self.index_by_name.contains_key(&job.name) {
                continue;
            }
            let mut state = previous.remove(&job.name).unwrap_or_else(|| new_state(job.clone()));
            state.job = job;
            self.index_by_name.insert(state.job.name.clone(), self.states.len());
            self.states.push(state);
        }
        self.rebuild_queue();
    }

    /// Queues the attempts of all jobs in [`Phase::Waiting`], and no others.
    fn rebuild_queue(&mut self) {
        self.attempts.clear();
        for (job_index, state) in self.states.iter().enumerate() {
            if let Phase::Waiting { attempt_at } = state.phase() {
                self.attempts.schedule(job_index, attempt_at);
            }
        }
    }

    /// Sets a job's phase. Queues the job's attempt if it waits for one, and cancels the queued attempt otherwise.
    pub(super) fn set_phase(&mut self, job_index: usize, phase: Phase) {
        self.states[job_index].set_phase(phase);
        match phase {
            Phase::Waiting { attempt_at } => self.attempts.schedule(job_index, attempt_at),
            Phase::Unranked | Phase::Reading(_) | Phase::Writing { .. } => self.attempts.cancel(job_index),
        }
    }

    /// Returns the time of the earliest queued attempt.
    pub(super) fn next_attempt_at(&self) -> Option<UnixTime> {
        self.attempts.next_due()
    }

    /// Returns the job with the earliest queued attempt if that attempt is due. The attempt remains queued until the phase of the
    /// job is set.
    pub(super) fn first_due_attempt(&self, now: UnixTime) -> Option<usize> {
        self.attempts.first_due(now)
    }

    /// Returns the index of the job with this name if the job awaits the response to this read.
    pub(super) fn awaiting_read(&self, name: &str, call: CallId) -> Option<usize> {
        let job_index = *self.index_by_name.get(name)?;
        self.states[job_index].phase().awaits_read(call).then_some(job_index)
    }

    /// Returns the index of the job with this name if the job awaits the response to this write.
    pub(super) fn awaiting_write(&self, name: &str, call: CallId) -> Option<usize> {
        let job_index = *self.index_by_name.get(name)?;
        self.states[job_index].phase().awaits_write(call).then_some(job_index)
    }

    /// Returns the indexes of all jobs.
    pub(super) fn indexes(&self) -> Range<usize> {
        0..self.states.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &JobState> {
        self.states.iter()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}

impl Index<usize> for Jobs {
    type Output = JobState;

    fn index(&self, job_index: usize) -> &JobState {
        &self.states[job_index]
    }
}

impl IndexMut<usize> for Jobs {
    fn index_mut(&mut self, job_index: usize) -> &mut JobState {
        &mut self.states[job_index]
    }
}

#[cfg(test)]
mod tests;
