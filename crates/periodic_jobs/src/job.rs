//! Periodic jobs, and the runs of which they consist.

use crate::ClockReading;
use crate::rendezvous::JobHash;
use job_lease::RunId;
use std::time::Duration;
use timestamps::{UnixTime, whole_millis};

/// A periodic job. In each period, at most one instance runs it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    /// The name of the job, the same on all instances.
    pub name: String,
    /// The time between the scheduled times of two runs. Fractions of a millisecond are ignored.
    pub period: Duration,
}

impl Job {
    /// Returns the run whose period contains this time. The periods of different jobs start at different offsets, which
    /// spreads the load on the lease store.
    pub fn run_at(&self, time: UnixTime) -> RunId {
        let period_ms = whole_millis(self.period).max(1);
        let offset_ms = JobHash::from_name(&self.name).0 % period_ms;
        let elapsed_ms = (time.as_millis() + period_ms - offset_ms) % period_ms;
        time.saturating_sub(Duration::from_millis(elapsed_ms)).into()
    }

    /// Returns the run after the one whose period contains the scheduled time of `run`.
    pub(crate) fn run_after(&self, run: RunId) -> RunId {
        let start_of_period = UnixTime::from(self.run_at(run.into()));
        (start_of_period + self.period).into()
    }
}

/// A run that this instance has acquired and may start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The name of the job to which the run belongs.
    pub job: String,
    /// The id of the run: its scheduled time, and its fencing token.
    pub id: RunId,
    /// The time before which the run must start, on both clocks.
    pub deadline: ClockReading,
}

impl Run {
    /// Returns whether the run may still start. The deadline must not have passed on either clock, because the Unix clock may
    /// have been stepped back during a pause.
    pub fn may_start(&self, now: ClockReading) -> bool {
        now.unix < self.deadline.unix && now.monotonic < self.deadline.monotonic
    }
}
