//! Synchronisation with the shared quota counter: tracks which tenants have spend to report, when it is due,
//! and the calls in flight.

use crate::counter_health::CounterHealth;
use crate::ids::TenantId;
use crate::tenant_quota::TenantQuota;
use crate::time::{Micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time in microseconds for which spend may stay unreported while the level of a shared bucket is
/// high.
pub(crate) const REPORT_DELAY: Micros = 500_000;
/// Amounts of at most this many units are not reported, because the counter's totals have only seven
/// significant digits.
pub(crate) const NEGLIGIBLE_UNITS: f64 = 1e-3;

/// The tenants with spend to report, the calls in flight, and the health of the counter.
#[derive(Debug)]
pub(crate) struct CounterSync {
    pub(crate) health: CounterHealth,
    /// Tenants with spend that is not reported to the counter yet.
    tenants_to_report: BTreeSet<TenantId>,
    /// Tenants that have a call in flight, by the name of the count that the call adds to.
    calls: BTreeMap<u64, TenantId>,
}

impl CounterSync {
    pub(crate) fn new(health: CounterHealth) -> Self {
        Self { health, tenants_to_report: BTreeSet::new(), calls: BTreeMap::new() }
    }

    /// Schedules a report of the tenant's spend, due in `delay` microseconds, or earlier if an earlier report
    /// is already scheduled. A negligible number of units is not scheduled.
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
        let is_first = self.tenants_to_report.insert(tenant);
        quota.report_due = if is_first { due } else { quota.report_due.min(due) };
    }

    /// Adds a tenant that was restored from a snapshot and has spend to report.
    pub(crate) fn add_unreported(&mut self, tenant: TenantId) {
        self.tenants_to_report.insert(tenant);
    }

    /// Tenants with unreported spend in order of their ids, starting at `from` and wrapping around.
    pub(crate) fn unreported_from(&self, from: TenantId) -> impl Iterator<Item = TenantId> {
        self.tenants_to_report.range(from..).chain(self.tenants_to_report.range(..from)).copied()
    }

    /// Removes a tenant whose quota was dropped.
    pub(crate) fn cancel_report(&mut self, tenant: TenantId) {
        self.tenants_to_report.remove(&tenant);
    }

    /// Drops all tenants with unreported spend, because the hot-restart successor reports it.
    pub(crate) fn drop_unreported(&mut self) {
        self.tenants_to_report.clear();
    }

    pub(crate) fn call_started(&mut self, tenant: TenantId, name: u64) {
        self.tenants_to_report.remove(&tenant);
        self.calls.insert(name, tenant);
    }

    /// Removes the call in flight to the count with this name, and returns its tenant; `None` if there is no
    /// such call.
    pub(crate) fn call_ended(&mut self, name: u64) -> Option<TenantId> {
        self.calls.remove(&name)
    }
}
