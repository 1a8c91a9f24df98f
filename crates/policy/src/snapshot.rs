//! The snapshot of a state machine, which the process hands to its successor at a hot restart.
//!
//! The predecessor admits no requests after the snapshot, so each bucket has one owner.

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

/// The state of a state machine as plain data. Fields are serialized by position, so their order must not
/// change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PolicySnapshot {
    now: Timestamp,
    started_at: Timestamp,
    tenants: Vec<(TenantId, StoredQuota)>,
    counter: CounterHealth,
    backends: Vec<BackendSnapshot>,
    latency_trend: LatencyTrend,
    class_stats: Vec<ClassStats>,
    /// The pool of the first service. The pools of other services are not handed over, because the platform
    /// (`snowfield run`) has only one service.
    pool: StoredPool,
    retry_budget: f64,
}

impl PolicySnapshot {
    /// Converts the numbers of backends, plans and classes to those of the successor. `backends` maps each
    /// number of the predecessor to that of the successor; `plans` and `classes` are indexed by the
    /// predecessor's numbers. Backends and quotas are dropped if their backend or plan has no number at the
    /// successor. If the classes differ, the estimates of all classes and backends are dropped.
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
        // Estimates of classes and backends are indexed by class, and cannot be used with other classes.
        let has_same_classes = classes.iter().enumerate().all(|(index, class)| *class == Some(index));
        if !has_same_classes {
            self.class_stats.clear();
            self.backends.clear();
        }
        self
    }
}

impl Policy {
    /// Creates a snapshot for a successor. The successor takes over the unreported spend, and this state
    /// machine no longer reports it. Requests that wait for a reply of the counter count as admitted.
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
        self.tenants.values_mut().for_each(|quota| quota.shared.drop_unreported());
        self.counter.drop_unreported();
        snapshot
    }

    /// Units reported as spent for those requests of a tenant that wait for a reply of the counter.
    fn provisional_spend(&self, tenant: TenantId) -> f64 {
        let tenant_requests = self.requests.values().filter(|request| request.tenant == tenant);
        tenant_requests.map(|request| request.provisional_spend).sum()
    }

    /// Restores the state of the predecessor. The endpoint list and the operator ejections of this state
    /// machine remain. The clocks of the two processes may differ: each process reads the wall clock when it
    /// starts, and the wall clock may have been stepped in between.
    pub fn take_over(&mut self, now: Timestamp, mut snapshot: PolicySnapshot) {
        self.now = self.now.max(now);
        snapshot.change_clock(self.now);
        self.now = self.now.max(snapshot.now);
        self.started_at = snapshot.started_at.min(self.now);
        for (tenant, quota) in snapshot.tenants {
            self.take_over_quota(tenant, quota);
        }
        self.counter.health = snapshot.counter.clamped_to(self.now);
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

    /// Restores the quota of a tenant. A quota of an unknown plan or with an invalid number of gatekeepers is
    /// dropped.
    fn take_over_quota(&mut self, tenant: TenantId, mut quota: StoredQuota) {
        let has_valid_gatekeeper_count = quota.gatekeeper_count.is_finite() && quota.gatekeeper_count >= 1.0;
        if quota.plan >= self.settings.plans.len() || !has_valid_gatekeeper_count {
            return;
        }
        quota.sanitize(self.now);
        if quota.unreported.abs() > NEGLIGIBLE_UNITS {
            self.counter.add_unreported(tenant);
        }
        self.tenants.insert(tenant, TenantQuota::restore(quota));
    }

    /// Charges a request that the successor admitted to the quotas of this state machine, the predecessor, so
    /// that the quotas are right if the predecessor has to resume. The successor reports the spend to the
    /// counter.
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

    /// Resumes after the successor exited without handing its state back. Unless all admissions of the
    /// successor are known, every bucket is assumed to be empty.
    pub fn resume(&mut self, knows_all_admissions: bool) {
        if knows_all_admissions {
            return;
        }
        self.tenants.values_mut().for_each(TenantQuota::assume_empty);
        self.started_at = self.now;
    }
}
