//! The snapshot that one state machine hands to its successor at a hot restart: its memory as plain data, no decision. The predecessor
//! admits nothing from then on, so that each bucket has one owner.

mod clock_change;

use crate::class_stats::ClassStats;
use crate::counter_health::CounterHealth;
use crate::counter_sync::NEGLIGIBLE_UNITS;
use crate::ids::{BackendId, TenantId};
use crate::latency_trend::LatencyTrend;
use crate::retry_budget::RetryBudget;
use crate::service_pool::ServicePool;
use crate::state_machine::Policy;
use crate::stored::{BackendSnapshot, StoredPool, StoredQuota};
use crate::tenant_quota::TenantQuota;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The memory of a state machine. The order of the fields is the serialized form.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PolicySnapshot {
    now: Timestamp,
    started_at: Timestamp,
    tenants: Vec<(TenantId, StoredQuota)>,
    counter: CounterHealth,
    backends: Vec<BackendSnapshot>,
    latency_trend: LatencyTrend,
    class_stats: Vec<ClassStats>,
    /// The pool of the first service: the platform has one.
    pool: StoredPool,
    retry_budget: f64,
}

impl PolicySnapshot {
    /// The same with the numbers of the successor: `backends` by the predecessor's number, `plans` and `classes` in the predecessor's
    /// order. Entries without a number there are left out.
    #[must_use]
    pub fn remap(
        mut self,
        backends: &HashMap<BackendId, BackendId>,
        plans: &[Option<usize>],
        classes: &[Option<usize>],
    ) -> Self {
        self.tenants.retain_mut(|(_, quota)| {
            let plan = plans.get(quota.plan).copied().flatten();
            quota.plan = plan.unwrap_or_default();
            plan.is_some()
        });
        self.backends.retain_mut(|backend| {
            let number = backends.get(&backend.id).copied();
            backend.id = number.unwrap_or_default();
            number.is_some()
        });
        // Estimates of classes and backends are by class: with other classes they are void.
        let has_same_classes = classes.iter().enumerate().all(|(index, class)| *class == Some(index));
        if !has_same_classes {
            self.class_stats.clear();
            self.backends.clear();
        }
        self
    }
}

impl Policy {
    /// Hands everything over: unreported spend goes along, and requests that wait for a total count as admitted.
    pub fn hand_over(&mut self) -> PolicySnapshot {
        let tenants =
            self.tenants.iter().map(|(&tenant, quota)| (tenant, quota.store(self.provisional_spend(tenant))));
        let snapshot = PolicySnapshot {
            now: self.now,
            started_at: self.started_at,
            tenants: tenants.collect(),
            counter: self.counter.health.clone(),
            backends: self.backends.store(),
            latency_trend: self.latency_trend.clone(),
            class_stats: self.class_stats.clone(),
            pool: self.pools[0].store(),
            retry_budget: self.retry_budget.tokens(),
        };
        self.tenants.values_mut().for_each(|quota| quota.shared.hand_over_report());
        self.counter.forget_unreported();
        snapshot
    }

    /// Units reported as spent for a tenant's requests that wait for a total.
    fn provisional_spend(&self, tenant: TenantId) -> f64 {
        let waiting = self.requests.values().filter(|request| request.tenant == tenant);
        waiting.map(|request| request.provisional_spend).sum()
    }

    /// Continues where the predecessor stopped. The endpoint list and operator ejections are this state machine's own. The clocks of
    /// the two may differ: each reads the wall clock when it starts, and that may have been stepped in between.
    pub fn take_over(&mut self, now: Timestamp, mut snapshot: PolicySnapshot) {
        self.now = self.now.max(now);
        snapshot.change_clock(self.now);
        self.now = self.now.max(snapshot.now);
        self.started_at = snapshot.started_at.min(self.now);
        for (tenant, quota) in snapshot.tenants {
            self.take_over_quota(tenant, quota);
        }
        self.counter.health = snapshot.counter.restored(self.now);
        for backend in snapshot.backends {
            self.backends.restore(backend, self.now);
        }
        if snapshot.class_stats.len() == self.class_stats.len() {
            self.class_stats = snapshot.class_stats;
            self.latency_trend = snapshot.latency_trend;
        }
        self.pools[0] = ServicePool::restore(snapshot.pool, self.now);
        self.retry_budget = RetryBudget::restore(snapshot.retry_budget);
        self.reorder_backends();
    }

    /// A quota of a plan that is not known here is dropped.
    fn take_over_quota(&mut self, tenant: TenantId, mut quota: StoredQuota) {
        let has_gatekeepers = quota.gatekeepers.is_finite() && quota.gatekeepers >= 1.0;
        if quota.plan >= self.settings.plans.len() || !has_gatekeepers {
            return;
        }
        quota.sanitize(self.now);
        if quota.unreported.abs() > NEGLIGIBLE_UNITS {
            self.counter.add_unreported(tenant);
        }
        self.tenants.insert(tenant, TenantQuota::restore(quota));
    }

    /// The successor has admitted a request: the quotas here follow, so that they can be taken back. The successor reports the spend
    /// to the counter.
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
        let max_cost = self.settings.max_cost;
        self.refilled_quota(tenant, plan, gatekeepers).mirror_admission(units, max_cost);
    }

    /// Continues after the successor exited without handing back. If some of its admissions are not known, every bucket starts empty.
    pub fn resume(&mut self, knows_all_admissions: bool) {
        if knows_all_admissions {
            return;
        }
        self.tenants.values_mut().for_each(TenantQuota::assume_empty);
        self.started_at = self.now;
    }
}
