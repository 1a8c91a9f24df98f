//! Figures of all schedules together.

use fault_injection::checkers::Violation;
use fault_injection::network::Traffic;
use fault_injection::runner::RunResult;
use fault_injection::schedule::Schedule;
use std::collections::BTreeMap;
use system_tests::{Table, percentile};

/// Maximum number of violations that are printed for a schedule.
const MAX_PRINTED: usize = 5;

/// Prints the first violations.
pub(crate) fn print_violations(name: &str, violations: &[Violation]) {
    for violation in violations.iter().take(MAX_PRINTED) {
        println!("{name}: {}: {}", violation.rule, violation.text);
    }
    if violations.len() > MAX_PRINTED {
        println!("{name}: and {} more", violations.len() - MAX_PRINTED);
    }
}

/// Figures of all schedules together.
#[derive(Default)]
pub(crate) struct Totals {
    faults: BTreeMap<String, u64>,
    /// Requests by the name of their outcome.
    outcomes: BTreeMap<&'static str, u64>,
    /// How long agreement took after the last fault, s.
    convergence: Vec<f64>,
    traffic: Traffic,
    /// Violations by rule.
    rules: BTreeMap<&'static str, u64>,
    /// Names of schedules that failed.
    failed: Vec<String>,
    /// The length of all schedules.
    length_s: f64,
}

impl Totals {
    pub(crate) fn add_failure(&mut self, schedule: &Schedule) {
        self.failed.push(schedule.name.clone());
    }

    pub(crate) fn add(&mut self, schedule: &Schedule, result: &RunResult) {
        print_violations(&schedule.name, &result.violations);
        if !result.violations.is_empty() {
            self.add_failure(schedule);
        }
        for (kind, count) in &result.faults {
            *self.faults.entry(kind.clone()).or_default() += count;
        }
        for (outcome, count) in &result.outcomes {
            *self.outcomes.entry(outcome.name()).or_default() += count;
        }
        self.convergence.extend(result.converged_after_ms.map(|ms| ms as f64 / 1_000.0));
        self.traffic += result.traffic;
        for violation in &result.violations {
            *self.rules.entry(violation.rule).or_default() += 1;
        }
        self.length_s += schedule.length_ms as f64 / 1_000.0;
    }

    /// Adds the schedules, faults and outcomes to the table.
    pub(crate) fn report_runs(&mut self, table: &mut Table, schedules: usize, parallel: usize) {
        self.convergence.sort_by(f64::total_cmp);
        let size = format!("{schedules}, {:.0} s in all, {parallel} at a time", self.length_s);
        table.add("schedules", size);
        for (kind, count) in &self.faults {
            table.add(&format!("fault: {kind}"), count);
        }
        for (outcome, count) in &self.outcomes {
            table.add(&format!("operations {outcome}"), count);
        }
        let Traffic { bytes, dropped_datagrams, resets } = self.traffic;
        table.add("megabytes carried by links", bytes / 1_000_000);
        let dropped = format!("{dropped_datagrams}, {resets}");
        table.add("datagrams dropped, connections reset in the middle", dropped);
        for (share, name) in [(0.5, "median"), (0.99, "99th percentile")] {
            let figure = format!("{:.2}", percentile(&self.convergence, share));
            table.add(&format!("until all agree again, {name}, s"), figure);
        }
        // What each schedule is allowed is its checker's matter: 10 s, or an epoch of the counter that lost its state.
        let worst = self.convergence.last().copied().unwrap_or(0.0);
        table.add("until all agree again, worst, s", format!("{worst:.2}"));
    }

    /// Adds what must not be.
    pub(crate) fn report_failures(&self, table: &mut Table) {
        for (rule, count) in &self.rules {
            table.add_with_maximum(&format!("broken: {rule}"), *count as f64, 0.0);
        }
        table.add_with_maximum("schedules that failed", self.failed.len() as f64, 0.0);
    }

    /// The last line's figures.
    pub(crate) fn summary(&self, schedules: usize) -> String {
        let faults: u64 = self.faults.values().sum();
        let requests: u64 = self.outcomes.values().sum();
        let violations: u64 = self.rules.values().sum();
        format!("{schedules} schedules, {faults} faults, {requests} operations, {violations} violations")
    }
}
