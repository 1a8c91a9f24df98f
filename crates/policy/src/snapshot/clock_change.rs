//! The times of a snapshot by another clock. Each of two processes reads the wall clock when it starts; were a step between their
//! starts kept in the times, the successor would wait for it to pass: nothing would refill, and no pause would end.

use super::PolicySnapshot;
use crate::state::{Backend, BackendPool, CounterHealth, TenantBucket};
use crate::time::Timestamp;

/// Clocks that are less apart are the same one: a snapshot takes moments to arrive.
const SAME_CLOCK: u64 = 200_000;

/// Turns times of one clock into those of another.
#[derive(Clone, Copy, Debug)]
struct ClockChange {
    /// Microseconds that the new clock is ahead.
    ahead: i64,
}

impl ClockChange {
    /// Changes a time. 0 stands for never.
    fn change(self, time: &mut Timestamp) {
        if *time > Timestamp::ZERO {
            *time = time.saturating_add_signed(self.ahead).max(Timestamp::from_micros(1));
        }
    }

    fn change_bucket(self, bucket: &mut TenantBucket) {
        self.change(&mut bucket.refilled_at);
        self.change(&mut bucket.synced_at);
        self.change(&mut bucket.report_due);
        self.change(&mut bucket.last_admitted);
    }

    fn change_counter(self, counter: &mut CounterHealth) {
        self.change(&mut counter.last_answer);
        self.change(&mut counter.recovered_at);
        self.change(&mut counter.next_trial);
        self.change(&mut counter.interval_changed_at);
        self.change(&mut counter.tokens_counted_at);
        counter.silent_since.iter_mut().for_each(|time| self.change(time));
    }

    fn change_backend(self, backend: &mut Backend) {
        self.change(&mut backend.latency_updated_at);
        self.change(&mut backend.last_answer);
        self.change(&mut backend.readmitted_at);
        self.change(&mut backend.connect_backoff_until);
        backend.rejects_until.values_mut().for_each(|time| self.change(time));
        for health in &mut backend.health {
            self.change(&mut health.last_answer);
            health.ejected_until.iter_mut().for_each(|time| self.change(time));
        }
    }

    fn change_pool(self, pool: &mut BackendPool) {
        self.change(&mut pool.limit_reduced_at);
        self.change(&mut pool.last_send);
        self.change(&mut pool.objective_part_updated_at);
        self.change(&mut pool.measured_at);
    }
}

impl PolicySnapshot {
    /// Changes all times to the clock that reads `now`, unless that is the same one.
    pub(super) fn change_clock(&mut self, now: Timestamp) {
        if self.now.abs_diff(now) <= SAME_CLOCK {
            return;
        }
        let change = ClockChange { ahead: now.as_micros().wrapping_sub(self.now.as_micros()) as i64 };
        change.change(&mut self.started_at);
        self.tenants.iter_mut().for_each(|(_, bucket)| change.change_bucket(bucket));
        change.change_counter(&mut self.counter);
        self.backends.iter_mut().for_each(|backend| change.change_backend(&mut backend.state));
        self.latency_trend.change_times(|time| change.change(time));
        change.change_pool(&mut self.pool);
        self.now = now;
    }
}
