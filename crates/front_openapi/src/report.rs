//! The report on routes and tenants for the operator console.

use crate::{Front, Tenant};
use exchange::FinalAnswer;
use link::lock_or_abort;
use openapi::Route;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Counts of the final answers of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Requests that a backend has served.
    pub served: u64,
    /// Requests that were rejected. The console shows them as `busy`.
    pub rejected: u64,
    /// Requests that failed and may have had an effect.
    pub failed: u64,
}

impl RouteCounts {
    pub(crate) fn count<A>(&mut self, answer: &FinalAnswer<A>) {
        match answer {
            FinalAnswer::Served(_) => self.served += 1,
            FinalAnswer::Rejected { .. } => self.rejected += 1,
            FinalAnswer::Failed(_) => self.failed += 1,
        }
    }
}

/// Units of forwarded requests by account, as the exchange counts them.
type UnitsByAccount = BTreeMap<u32, f64>;

impl Front {
    /// Returns a text with one line for each route and each tenant. The units of a forwarded request count once, however many
    /// attempts it took.
    pub fn report(&self) -> String {
        let units = self.exchange.status().accounts;
        let mut report = String::from("routes\n");
        for (number, route) in self.config.routes.routes().iter().enumerate() {
            self.report_route(number, route, &units, &mut report);
        }
        report.push_str("lenders\n");
        for (number, tenant) in self.config.tenants.iter().enumerate() {
            self.report_tenant(number, tenant, &units, &mut report);
        }
        report
    }

    fn report_route(&self, number: usize, route: &Route, units: &UnitsByAccount, report: &mut String) {
        let RouteCounts { served, rejected, failed } = lock_or_abort(&self.counts)[number];
        let forwarded = sum_units(units, |account| self.config.route_of(account) == number);
        let Route { method, path, units: cost, .. } = route;
        // Writing to a string cannot fail.
        let _ = writeln!(
            report,
            "  {method:7} {path}  cost {cost}  served {served}  busy {rejected}  failed {failed}  units {forwarded}"
        );
    }

    fn report_tenant(&self, number: usize, tenant: &Tenant, units: &UnitsByAccount, report: &mut String) {
        let forwarded = sum_units(units, |account| self.config.tenant_of(account) == number);
        let Tenant { name, plan_name, .. } = tenant;
        let _ = writeln!(report, "  {name}  plan {plan_name}  units {forwarded}");
    }
}

/// Sums up the units of the accounts for which `is_included` returns true.
fn sum_units(units: &UnitsByAccount, is_included: impl Fn(u32) -> bool) -> f64 {
    let included = units.iter().filter(|(account, _)| is_included(**account));
    // `Iterator::sum` returns -0 for an empty iterator, which would be printed as `-0`.
    included.fold(0.0, |sum, (_, units)| sum + units)
}

#[cfg(test)]
mod tests;
