//! What the console shows of the front.

use crate::Front;
use exchange::FinalAnswer;
use link::locked;
use std::fmt::Write;

/// Final answers of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// With a destination's answer.
    pub served: u64,
    /// With the busy reply.
    pub rejected: u64,
    /// Neither.
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

impl Front {
    /// Routes and lenders as text, one a line. `units` are those sent on, each client's try once.
    pub fn report(&self) -> String {
        let status = self.exchange.status();
        let lenders = self.setup.tenants.len();
        let units = |fits: &dyn Fn(usize) -> bool| -> f64 {
            status
                .accounts
                .iter()
                .filter(|(account, _)| fits(**account as usize))
                .fold(0.0, |sum, (_, units)| sum + units)
        };
        let mut out = String::from("routes\n");
        for (i, (route, tally)) in
            self.setup.routes.routes().iter().zip(locked(&self.counts).iter()).enumerate()
        {
            let sent = units(&|account| account / lenders == i);
            let _ = writeln!(
                out,
                "  {:7} {}  cost {}  served {}  busy {}  failed {}  units {sent}",
                route.method, route.path, route.units, tally.served, tally.rejected, tally.failed
            );
        }
        out.push_str("lenders\n");
        for (i, lender) in self.setup.tenants.iter().enumerate() {
            let sent = units(&|account| account % lenders == i);
            let _ = writeln!(out, "  {}  plan {}  units {sent}", lender.name, lender.plan_name);
        }
        out
    }
}

#[cfg(test)]
mod tests;
