//! What the console shows of the front.

use crate::{Front, Tenant};
use exchange::FinalAnswer;
use link::locked;
use openapi::Route;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Final answers of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Served by a backend.
    pub served: u64,
    /// Rejected. The console calls them busy.
    pub rejected: u64,
    /// Failed.
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

/// Units by account, as the exchange counts them.
type UnitsByAccount = BTreeMap<u32, f64>;

impl Front {
    /// Routes and tenants as text, one a line. The units are those forwarded, once for each request.
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
        let RouteCounts { served, rejected, failed } = locked(&self.counts)[number];
        let forwarded = self.sum_units(units, |route, _| route == number);
        let Route { method, path, units: cost, .. } = route;
        // Writing to a string cannot fail.
        let _ = writeln!(
            report,
            "  {method:7} {path}  cost {cost}  served {served}  busy {rejected}  failed {failed}  units {forwarded}"
        );
    }

    fn report_tenant(&self, number: usize, tenant: &Tenant, units: &UnitsByAccount, report: &mut String) {
        let forwarded = self.sum_units(units, |_, tenant| tenant == number);
        let Tenant { name, plan_name, .. } = tenant;
        let _ = writeln!(report, "  {name}  plan {plan_name}  units {forwarded}");
    }

    /// The units of the accounts whose route and tenant are included.
    fn sum_units(&self, units: &UnitsByAccount, is_included: impl Fn(usize, usize) -> bool) -> f64 {
        let included = units.iter().filter(|(account, _)| {
            let (route, tenant) = self.config.route_and_tenant(**account);
            is_included(route, tenant)
        });
        // Not `sum`, which is -0 for no account at all.
        included.fold(0.0, |sum, (_, units)| sum + units)
    }
}

#[cfg(test)]
mod tests;
