//! Converts the times of a snapshot to the clock of the successor.
//!
//! Each process reads the wall clock when it starts. If the wall clock was stepped between the two starts and
//! the times were not converted, the successor would wait until the step has passed: no bucket would refill,
//! and no pause would end.

use super::PolicySnapshot;
use crate::stored::{StoredBackend, StoredClassHealth, StoredPool, StoredQuota};
use crate::time::{Micros, Timestamp};

/// Clocks that differ by at most this many microseconds count as the same. Part of the difference is the time
/// that the snapshot takes to arrive.
const SAME_CLOCK_TOLERANCE: Micros = 200_000;

/// Converts times of one clock to another clock.
#[derive(Clone, Copy, Debug)]
struct ClockChange {
    /// Microseconds by which the new clock is ahead of the old clock; negative if the new clock is behind.
    ahead: i64,
}

impl ClockChange {
    /// Converts one time to the new clock. [`Timestamp::ZERO`] stands for never, and is not changed.
    fn convert(self, time: &mut Timestamp) {
        if *time > Timestamp::ZERO {
            *time = time.saturating_add_signed(self.ahead).max(Timestamp::from_micros(1));
        }
    }

    fn convert_quota(self, quota: &mut StoredQuota) {
        self.convert(&mut quota.refilled_at);
        self.convert(&mut quota.synced_at);
        self.convert(&mut quota.report_due);
        self.convert(&mut quota.last_admitted);
    }

    fn convert_backend(self, backend: &mut StoredBackend) {
        self.convert(&mut backend.latency_updated_at);
        self.convert(&mut backend.last_answer);
        self.convert(&mut backend.readmitted_at);
        self.convert(&mut backend.connect_backoff_until);
        backend.rejects_until.values_mut().for_each(|time| self.convert(time));
        backend.classes.iter_mut().for_each(|class| self.convert_class_health(class));
    }

    fn convert_class_health(self, class: &mut StoredClassHealth) {
        self.convert(&mut class.last_answer);
        class.ejected_until.iter_mut().for_each(|time| self.convert(time));
    }

    fn convert_pool(self, pool: &mut StoredPool) {
        self.convert(&mut pool.limit_reduced_at);
        self.convert(&mut pool.last_send);
        self.convert(&mut pool.objective_fraction_updated_at);
        self.convert(&mut pool.measured_at);
    }
}

impl PolicySnapshot {
    /// Converts all times to the clock that reads `now`, unless the clocks are the same.
    pub(super) fn change_clock(&mut self, now: Timestamp) {
        if self.now.abs_diff(now) <= SAME_CLOCK_TOLERANCE {
            return;
        }
        let change = ClockChange { ahead: now.as_micros().wrapping_sub(self.now.as_micros()) as i64 };
        change.convert(&mut self.started_at);
        self.tenants.iter_mut().for_each(|(_, quota)| change.convert_quota(quota));
        self.counter.change_times(|time| change.convert(time));
        self.backends.iter_mut().for_each(|backend| change.convert_backend(&mut backend.state));
        self.latency_trend.change_times(|time| change.convert(time));
        change.convert_pool(&mut self.pool);
        self.now = now;
    }
}
