//! Totals over all schedules.

use fault_harness::violation::Violation;
use fault_injection::network::Traffic;
use fault_injection::runner::RunResult;
use fault_injection::schedule::Schedule;
use std::collections::BTreeMap;
use system_tests::{Distribution, ScheduleTotals, Table};

/// Maximum number of violations that are printed for a schedule.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Prints the first [`MAX_PRINTED_VIOLATIONS`] violations of a schedule and the number of the others.
pub(crate) fn print_violations(name: &str, violations: &[Violation]) {
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("{name}: {}: {}", violation.rule, violation.text);
    }
    if violations.len() > MAX_PRINTED_VIOLATIONS {
        println!("{name}: and {} more", violations.len() - MAX_PRINTED_VIOLATIONS);
    }
}

/// Totals over all schedules.
#[derive(Default)]
pub(crate) struct Totals {
    faults: BTreeMap<String, u64>,
    /// Number of requests by the name of their outcome.
    outcomes: BTreeMap<&'static str, u64>,
    /// Time from the end of the last fault until all gatekeepers agreed, s.
    convergence_s: Distribution,
    traffic: Traffic,
    /// Number of violations by rule.
    violations: BTreeMap<&'static str, u64>,
    /// Number of schedules that broke a rule or could not be run.
    failed_schedules: usize,
    /// Total length of all schedules that ran, s.
    length_s: f64,
}

impl ScheduleTotals for Totals {
    fn add_failure(&mut self, _: &Schedule) {
        self.failed_schedules += 1;
    }

    fn add(&mut self, schedule: &Schedule, result: &RunResult) {
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
        self.convergence_s.extend(result.converged_after_ms.map(|ms| ms as f64 / 1_000.0));
        self.traffic += result.traffic;
        for violation in &result.violations {
            *self.violations.entry(violation.rule).or_default() += 1;
        }
        self.length_s += schedule.length_ms as f64 / 1_000.0;
    }
}

impl Totals {
    /// Adds the schedules, their faults and the outcomes of requests to the table.
    pub(crate) fn add_runs_to(&self, table: &mut Table, schedules: usize, parallelism: usize) {
        let size = format!("{schedules}, {:.0} s in all, {parallelism} at a time", self.length_s);
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
        // These rows have no bound because the checkers already limit the convergence time of each schedule: to 10 s, or to an
        // epoch of the counter after it lost its state.
        for (name, share) in [("median", 0.5), ("99th percentile", 0.99), ("worst", 1.0)] {
            let figure = format!("{:.2}", self.convergence_s.percentile(share));
            table.add(&format!("until all agree again, {name}, s"), figure);
        }
    }

    /// Adds the numbers of violations and of failed schedules, which must be 0.
    pub(crate) fn add_failures_to(&self, table: &mut Table) {
        for (rule, count) in &self.violations {
            table.add_with_maximum(&format!("broken: {rule}"), *count as f64, 0.0);
        }
        table.add_with_maximum("schedules that failed", self.failed_schedules as f64, 0.0);
    }

    /// Returns the totals for the last line of the output.
    pub(crate) fn summary(&self, schedules: usize) -> String {
        let faults: u64 = self.faults.values().sum();
        let requests: u64 = self.outcomes.values().sum();
        let violations: u64 = self.violations.values().sum();
        format!("{schedules} schedules, {faults} faults, {requests} operations, {violations} violations")
    }
}
