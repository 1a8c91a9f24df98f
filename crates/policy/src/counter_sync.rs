//! Synchronisation with the shared quota counter: which tenants have spend to report and when, and the calls
//! in flight.

use crate::counter_health::CounterHealth;
use crate::ids::TenantId;
use crate::tenant_quota::TenantQuota;
use crate::time::{Micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum microseconds for which spend may go unreported while a bucket is well filled.
pub(crate) const REPORT_DELAY: Micros = 500_000;
/// Fewer units are not reported: totals have seven digits.
pub(crate) const NEGLIGIBLE_UNITS: f64 = 1e-3;

/// What is to be reported, and what is on its way.
#[derive(Debug)]
pub(crate) struct CounterSync {
    pub(crate) health: CounterHealth,
    /// Tenants with spend that is not reported to the counter yet.
    unreported: BTreeSet<TenantId>,
    /// Calls in flight, by the name of the count.
    calls: BTreeMap<u64, TenantId>,
}

impl CounterSync {
    pub(crate) fn new(health: CounterHealth) -> Self {
        Self { health, unreported: BTreeSet::new(), calls: BTreeMap::new() }
    }

    /// Schedules a report of this many units within a delay.
    pub(crate) fn schedule(
        &mut self,
        tenant: TenantId,
        quota: &mut TenantQuota,
        units: f64,
        delay: Micros,
        now: Timestamp,
    ) {
        if units.abs() <= NEGLIGIBLE_UNITS {
            return;
        }
        let due = now + delay;
        let is_first = self.unreported.insert(tenant);
        quota.report_due = if is_first { due } else { quota.report_due.min(due) };
    }

    /// A tenant taken over from another process has spend to report.
    pub(crate) fn add_unreported(&mut self, tenant: TenantId) {
        self.unreported.insert(tenant);
    }

    /// Tenants with unreported spend, in order from this one on and around.
    pub(crate) fn unreported_from(&self, from: TenantId) -> impl Iterator<Item = TenantId> {
        self.unreported.range(from..).chain(self.unreported.range(..from)).copied()
    }

    /// Another process reports from now on.
    pub(crate) fn forget_unreported(&mut self) {
        self.unreported.clear();
    }

    pub(crate) fn call_started(&mut self, tenant: TenantId, name: u64) {
        self.unreported.remove(&tenant);
        self.calls.insert(name, tenant);
    }

    /// The tenant whose call has ended; none if no call for this name is in flight.
    pub(crate) fn call_ended(&mut self, name: u64) -> Option<TenantId> {
        self.calls.remove(&name)
    }
}
