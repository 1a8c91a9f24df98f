//! The moments of a snapshot by another clock. Each of two processes reads the wall clock when it starts. Were a step between their
//! starts kept in the moments, the successor would wait for it to pass: nothing would refill, and no pause would end.

use super::PolicySnapshot;
use crate::stored::{StoredBackend, StoredClassHealth, StoredPool, StoredQuota};
use crate::time::{Micros, Timestamp};

/// Clocks that differ by no more microseconds are the same one: a snapshot takes moments to arrive.
const SAME_CLOCK: Micros = 200_000;

/// Turns moments of one clock into those of another.
#[derive(Clone, Copy, Debug)]
struct ClockChange {
    /// Microseconds that the new clock is ahead.
    ahead: i64,
}

impl ClockChange {
    /// Changes a moment. [`Timestamp::ZERO`] stands for never.
    fn change(self, time: &mut Timestamp) {
        if *time > Timestamp::ZERO {
            *time = time.saturating_add_signed(self.ahead).max(Timestamp::from_micros(1));
        }
    }

    fn change_quota(self, quota: &mut StoredQuota) {
        self.change(&mut quota.refilled_at);
        self.change(&mut quota.synced_at);
        self.change(&mut quota.report_due);
        self.change(&mut quota.last_admitted);
    }

    fn change_backend(self, backend: &mut StoredBackend) {
        self.change(&mut backend.latency_updated_at);
        self.change(&mut backend.last_answer);
        self.change(&mut backend.readmitted_at);
        self.change(&mut backend.connect_backoff_until);
        backend.rejects_until.values_mut().for_each(|time| self.change(time));
        backend.classes.iter_mut().for_each(|class| self.change_class_health(class));
    }

    fn change_class_health(self, class: &mut StoredClassHealth) {
        self.change(&mut class.last_answer);
        class.ejected_until.iter_mut().for_each(|time| self.change(time));
    }

    fn change_pool(self, pool: &mut StoredPool) {
        self.change(&mut pool.limit_reduced_at);
        self.change(&mut pool.last_send);
        self.change(&mut pool.objective_part_updated_at);
        self.change(&mut pool.measured_at);
    }
}

impl PolicySnapshot {
    /// Changes all moments to the clock that reads `now`, unless that is the same one.
    pub(super) fn change_clock(&mut self, now: Timestamp) {
        if self.now.abs_diff(now) <= SAME_CLOCK {
            return;
        }
        let change = ClockChange { ahead: now.as_micros().wrapping_sub(self.now.as_micros()) as i64 };
        change.change(&mut self.started_at);
        self.tenants.iter_mut().for_each(|(_, quota)| change.change_quota(quota));
        self.counter.change_times(|time| change.change(time));
        self.backends.iter_mut().for_each(|backend| change.change_backend(&mut backend.state));
        self.latency_trend.change_times(|time| change.change(time));
        change.change_pool(&mut self.pool);
        self.now = now;
    }
}
