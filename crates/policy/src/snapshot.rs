//! What one state machine hands to its successor at a hot restart: its memory as plain data, no decision. The predecessor admits
//! nothing from then on, so that each bucket and each right has one owner.

use crate::counter_sync::NEGLIGIBLE_UNITS;
use crate::ids::{BackendId, TenantId};
use crate::latency_trend::LatencyTrend;
use crate::state::{Backend, BackendPool, ClassStats, CountTotal, CounterHealth, TenantBucket};
use crate::state_machine::Policy;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

mod clock_change;

/// The memory of a state machine. The order of the fields is the serialized form.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PolicySnapshot {
    now: Timestamp,
    started_at: Timestamp,
    tenants: Vec<(TenantId, TenantBucket)>,
    counter: CounterHealth,
    backends: Vec<BackendSnapshot>,
    latency_trend: LatencyTrend,
    class_stats: Vec<ClassStats>,
    pool: BackendPool,
    retry_budget: f64,
}

/// What is known of one backend since its most recent start.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct BackendSnapshot {
    id: BackendId,
    started: Timestamp,
    state: Backend,
}

impl PolicySnapshot {
    /// The same with the numbers of the successor: `backends` by the predecessor's number, `plans` and `classes` in the
    /// predecessor's order. What has no number there is left out.
    #[must_use]
    pub fn remap(
        mut self,
        backends: &HashMap<BackendId, BackendId>,
        plans: &[Option<usize>],
        classes: &[Option<usize>],
    ) -> Self {
        self.tenants.retain_mut(|(_, bucket)| {
            let plan = plans.get(bucket.plan).copied().flatten();
            bucket.plan = plan.unwrap_or_default();
            plan.is_some()
        });
        self.backends.retain_mut(|backend| {
            let number = backends.get(&backend.id).copied();
            backend.id = number.unwrap_or_default();
            number.is_some()
        });
        // With other classes, what was learnt of each class says nothing.
        let has_same_classes = classes.iter().enumerate().all(|(index, class)| *class == Some(index));
        if !has_same_classes {
            self.class_stats.clear();
            self.backends.clear();
        }
        self
    }
}

impl Policy {
    /// Hands everything over: spend that the counter has not been told goes along, and requests that wait for a total count as
    /// admitted.
    pub fn hand_over(&mut self) -> PolicySnapshot {
        self.activate_pool(0);
        let tenants =
            self.tenants.iter().map(|(&tenant, bucket)| (tenant, self.bucket_to_hand_over(tenant, bucket)));
        let backends = self.backends.iter().map(|(&id, backend)| BackendSnapshot {
            id,
            started: backend.entry.started,
            state: backend.clone(),
        });
        let snapshot = PolicySnapshot {
            now: self.now,
            started_at: self.started_at,
            tenants: tenants.collect(),
            counter: self.counter.clone(),
            backends: backends.collect(),
            latency_trend: self.latency_trend.clone(),
            class_stats: self.class_stats.clone(),
            pool: self.pool.clone(),
            retry_budget: self.retry_budget,
        };
        self.tenants.values_mut().for_each(|bucket| bucket.unreported = 0.0);
        self.unreported_tenants.clear();
        snapshot
    }

    fn bucket_to_hand_over(&self, tenant: TenantId, bucket: &TenantBucket) -> TenantBucket {
        let waiting = self.requests.values().filter(|request| request.tenant == tenant);
        let provisional_spend: f64 = waiting.map(|request| request.provisional_spend).sum();
        // A call in flight adds to the total that was read last, whoever gets its answer.
        let added = bucket.call_in_flight.unwrap_or(0.0);
        let last_total = bucket.last_total.map(|known| CountTotal { total: known.total + added, ..known });
        TenantBucket {
            last_total,
            written_off: if bucket.call_in_flight.is_some() { 0.0 } else { bucket.written_off },
            ceiling_level: bucket.ceiling_level - provisional_spend,
            call_in_flight: None,
            waiting: Vec::new(),
            reserved: 0.0,
            in_flight: 0,
            ..bucket.clone()
        }
    }

    /// Continues where the predecessor stopped. The endpoint list and operator ejections are this state machine's own. The clocks of
    /// the two may be apart: each reads the wall clock when it starts, and that may have been stepped in between.
    pub fn take_over(&mut self, now: Timestamp, mut snapshot: PolicySnapshot) {
        self.activate_pool(0);
        self.now = self.now.max(now);
        snapshot.change_clock(self.now);
        self.now = self.now.max(snapshot.now);
        self.started_at = snapshot.started_at.min(self.now);
        for (tenant, bucket) in snapshot.tenants {
            self.take_over_bucket(tenant, bucket);
        }
        self.take_over_counter(snapshot.counter);
        for backend in snapshot.backends {
            self.take_over_backend(backend);
        }
        if snapshot.class_stats.len() == self.class_stats.len() {
            self.class_stats = snapshot.class_stats;
            self.latency_trend = snapshot.latency_trend;
        }
        self.take_over_pool(snapshot.pool);
        self.retry_budget = if snapshot.retry_budget.is_finite() { snapshot.retry_budget } else { 0.0 };
        self.reorder_backends();
    }

    /// Times of another clock and figures that are no numbers are corrected.
    fn take_over_bucket(&mut self, tenant: TenantId, mut bucket: TenantBucket) {
        let has_gatekeepers = bucket.gatekeepers.is_finite() && bucket.gatekeepers >= 1.0;
        if bucket.plan >= self.settings.plans.len() || !has_gatekeepers {
            return;
        }
        for value in [
            &mut bucket.level,
            &mut bucket.local_share,
            &mut bucket.synced_level,
            &mut bucket.ceiling_level,
            &mut bucket.unreported,
            &mut bucket.spent_since_sync,
            &mut bucket.written_off,
            &mut bucket.others_growth,
        ] {
            *value = if value.is_finite() { *value } else { 0.0 };
        }
        for time in [&mut bucket.refilled_at, &mut bucket.synced_at, &mut bucket.last_admitted] {
            *time = (*time).min(self.now);
        }
        if bucket.unreported.abs() > NEGLIGIBLE_UNITS {
            self.unreported_tenants.insert(tenant);
        }
        self.tenants.insert(tenant, bucket);
    }

    fn take_over_counter(&mut self, counter: CounterHealth) {
        self.counter = CounterHealth {
            tokens_counted_at: self.now,
            interval_changed_at: counter.interval_changed_at.min(self.now),
            last_answer: counter.last_answer.min(self.now),
            ..counter
        };
    }

    fn take_over_backend(&mut self, snapshot: BackendSnapshot) {
        let BackendSnapshot { id, started, state } = snapshot;
        let Some(backend) = self.backends.get_mut(&id) else { return };
        if backend.entry.started != started || state.health.len() != backend.health.len() {
            return;
        }
        *backend = Backend {
            entry: backend.entry.clone(),
            notified_start: backend.notified_start,
            in_flight: backend.in_flight,
            latency_updated_at: state.latency_updated_at.min(self.now),
            ..state
        };
    }

    fn take_over_pool(&mut self, pool: BackendPool) {
        self.pool = BackendPool {
            measured_at: pool.measured_at.min(self.now),
            objective_part_updated_at: pool.objective_part_updated_at.min(self.now),
            last_send: pool.last_send.min(self.now),
            ..pool
        };
    }

    /// The successor has admitted a request: the buckets here follow, so that they can be taken back. The successor reports the
    /// spend to the counter.
    pub fn mirror_admission(
        &mut self,
        now: Timestamp,
        tenant: TenantId,
        plan: usize,
        gatekeepers: f64,
        units: f64,
    ) {
        if plan + 1 >= self.settings.plans.len() {
            return;
        }
        self.now = self.now.max(now);
        self.refill(tenant, plan, gatekeepers);
        let max_cost = self.settings.max_cost;
        self.tenants.entry(tenant).and_modify(|bucket| {
            bucket.spend(units);
            bucket.unreported -= units;
            bucket.local_share = (bucket.local_share - units).max(-max_cost);
            bucket.ceiling_level -= units;
        });
    }

    /// Goes on after the successor ended without handing back. Where not all that it admitted is known, every bucket starts empty.
    pub fn resume(&mut self, knows_all_admissions: bool) {
        if knows_all_admissions {
            return;
        }
        for bucket in self.tenants.values_mut() {
            bucket.last_total = None;
            bucket.local_share = bucket.local_share.min(0.0);
            bucket.ceiling_level = bucket.ceiling_level.min(0.0);
            bucket.level = bucket.level.min(0.0);
        }
        self.started_at = self.now;
    }
}
