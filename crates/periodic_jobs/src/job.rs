//! Jobs and their runs.

use crate::ClockReading;
use crate::rendezvous::JobHash;
use job_lease::RunId;

/// Something to be done once in each period by exactly one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    /// Its name, the same at all instances.
    pub name: String,
    /// Milliseconds between two runs.
    pub period_ms: u64,
}

impl Job {
    /// The run whose period contains this time. Periods of different jobs begin at different times, so that not all leases
    /// are acquired at once.
    pub fn run_at(&self, unix_ms: u64) -> RunId {
        let period_ms = self.period_ms.max(1);
        let phase_ms = JobHash::of(&self.name).0 % period_ms;
        let elapsed_ms = (unix_ms + self.period_ms - phase_ms) % period_ms;
        RunId(unix_ms.saturating_sub(elapsed_ms))
    }

    /// The run that follows the one whose period contains this run's scheduled time.
    pub(crate) fn run_after(&self, run: RunId) -> RunId {
        RunId(self.run_at(run.scheduled_unix_ms()).0 + self.period_ms)
    }
}

/// A run to be carried out now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The job's name.
    pub job: String,
    /// The run's scheduled time, which is the fencing token.
    pub id: RunId,
    /// It must start before this, on both clocks.
    pub deadline: ClockReading,
}

impl Run {
    /// Whether it may still start. Both clocks must say so: one may have been set, and an instance that was paused finds
    /// that time has passed on both.
    pub fn may_start(&self, now: ClockReading) -> bool {
        now.unix_ms < self.deadline.unix_ms && now.monotonic_ms < self.deadline.monotonic_ms
    }
}
