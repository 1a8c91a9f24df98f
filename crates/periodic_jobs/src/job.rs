//! Jobs and their runs.

use crate::ClockReading;
use crate::rendezvous::JobHash;
use job_lease::RunId;
use std::time::Duration;
use timestamps::{UnixTime, whole_millis};

/// A job that exactly one instance runs once per period.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    /// The name, the same on all instances.
    pub name: String,
    /// The time between two runs. Fractions of a millisecond are ignored.
    pub period: Duration,
}

impl Job {
    /// Returns the run whose period contains this moment. The periods of different jobs start at different offsets, which
    /// spreads the load on the lease store.
    pub fn run_at(&self, moment: UnixTime) -> RunId {
        let period_ms = whole_millis(self.period).max(1);
        let offset_ms = JobHash::of(&self.name).0 % period_ms;
        let elapsed_ms = (moment.as_millis() + period_ms - offset_ms) % period_ms;
        moment.saturating_sub(Duration::from_millis(elapsed_ms)).into()
    }

    /// Returns the run after the one whose period contains the scheduled time of `run`.
    pub(crate) fn run_after(&self, run: RunId) -> RunId {
        let start_of_period = UnixTime::from(self.run_at(run.into()));
        (start_of_period + self.period).into()
    }
}

/// A run whose lease is held by this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The name of the job.
    pub job: String,
    /// The id of the run, which is also its fencing token.
    pub id: RunId,
    /// The run must start before this moment on both clocks.
    pub deadline: ClockReading,
}

impl Run {
    /// Returns whether the run may still start. The deadline must not have passed on either clock, because the Unix clock may
    /// have been stepped back during a pause.
    pub fn may_start(&self, now: ClockReading) -> bool {
        now.unix < self.deadline.unix && now.monotonic < self.deadline.monotonic
    }
}
