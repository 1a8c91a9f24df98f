//! Totals over all schedules.

use crate::rollouts::rollout_times;
use crate::schedules::WITHOUT_FAULTS;
use fault_injection::checkers::longest_contradiction;
use fault_injection::history::Observation;
use fault_injection::runner::RunResult;
use fault_injection::schedule::Schedule;
use std::collections::BTreeMap;
use std::time::Duration;
use system_tests::{Distribution, ScheduleTotals, Table};

/// Contradictions that last longer than this time are printed with the name of their schedule.
const REPORTED_CONTRADICTION_MS: u64 = 100;
/// Maximum number of violations that are printed for a schedule.
const MAX_PRINTED_VIOLATIONS: usize = 4;
/// Maximum time for which two gatekeepers apply versions that contradict each other, s.
const MAX_CONTRADICTION_S: f64 = 0.25;
/// Maximum duration of a roll-out without faults, s.
const MAX_ROLLOUT_WITHOUT_FAULTS_S: f64 = 1.0;
/// Number of versions that are proposed in the schedule without faults.
const VERSIONS_WITHOUT_FAULTS: f64 = 3.0;

/// Totals over all schedules.
#[derive(Default)]
pub(crate) struct Totals {
    faults: BTreeMap<String, u64>,
    accepted_versions: u64,
    /// Number of proposals that were not accepted, by exit code.
    rejected_proposals: BTreeMap<i32, u64>,
    /// The duration of the longest contradiction of each schedule, s.
    contradictions_s: Distribution,
    /// Durations of roll-outs in the schedule without faults, s.
    rollouts_without_faults_s: Distribution,
    /// Durations of all other roll-outs, s.
    rollouts_under_faults_s: Distribution,
    /// Number of schedules that broke a rule or could not be run.
    failed_schedules: usize,
    requests: u64,
}

impl ScheduleTotals for Totals {
    fn add(&mut self, schedule: &Schedule, result: &RunResult) {
        for (kind, count) in &result.faults {
            *self.faults.entry(kind.clone()).or_default() += count;
        }
        self.requests += result.outcomes.values().sum::<u64>();
        self.add_proposals(result);
        self.add_contradiction(schedule, result);
        self.add_rollouts(schedule, result);
        self.add_violations(schedule, result);
    }

    fn add_failure(&mut self, _: &Schedule) {
        self.failed_schedules += 1;
    }
}

impl Totals {
    fn add_proposals(&mut self, result: &RunResult) {
        for record in &result.history {
            match &record.observation {
                Observation::VersionProposed { exit_code: 0, .. } => self.accepted_versions += 1,
                Observation::VersionProposed { exit_code, .. } => {
                    *self.rejected_proposals.entry(*exit_code).or_default() += 1;
                }
                _ => {}
            }
        }
    }

    fn add_contradiction(&mut self, schedule: &Schedule, result: &RunResult) {
        let contradiction = longest_contradiction(&result.history);
        let longest_ms = contradiction.longest_ms;
        self.contradictions_s.extend([longest_ms as f64 / 1_000.0]);
        if longest_ms > REPORTED_CONTRADICTION_MS {
            println!("{}: apart for {longest_ms} ms: {}", schedule.name, contradiction.description);
        }
    }

    fn add_rollouts(&mut self, schedule: &Schedule, result: &RunResult) {
        let durations_s = rollout_times(&result.history).map(|duration: Duration| duration.as_secs_f64());
        if schedule.name == WITHOUT_FAULTS {
            self.rollouts_without_faults_s.extend(durations_s);
        } else {
            self.rollouts_under_faults_s.extend(durations_s);
        }
    }

    fn add_violations(&mut self, schedule: &Schedule, result: &RunResult) {
        if !result.violations.is_empty() {
            self.add_failure(schedule);
        }
        for violation in result.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            println!("{}: {}: {}", schedule.name, violation.rule, violation.text);
        }
    }

    /// Adds all totals to the table.
    pub(crate) fn add_to(&self, table: &mut Table, schedules: usize) {
        table.add("schedules, operations", format!("{schedules}, {}", self.requests));
        for (kind, count) in &self.faults {
            table.add(&format!("fault: {kind}"), count);
        }
        table.add("versions taken", self.accepted_versions);
        for (exit_code, count) in &self.rejected_proposals {
            table.add(&format!("proposals that ended with code {exit_code}"), count);
        }
        self.add_contradictions_to(table);
        self.add_rollouts_to(table);
        table.add_with_maximum("schedules that failed", self.failed_schedules as f64, 0.0);
    }

    fn add_contradictions_to(&self, table: &mut Table) {
        let name = "two act on versions that contradict each other, longest, s";
        table.add_with_maximum(name, self.max_contradiction_s(), MAX_CONTRADICTION_S);
        let name = "... 99th percentile of schedules, s";
        table.add(name, format_seconds(self.contradictions_s.percentile(0.99)));
    }

    fn add_rollouts_to(&self, table: &mut Table) {
        let without_faults = &self.rollouts_without_faults_s;
        let name = "at rest, until in force everywhere: median, s";
        table.add(name, format_seconds(without_faults.median()));
        table.add_with_maximum(
            "... worst, s",
            self.max_rollout_without_faults_s(),
            MAX_ROLLOUT_WITHOUT_FAULTS_S,
        );
        table.add_with_minimum("... versions taken", without_faults.count() as f64, VERSIONS_WITHOUT_FAULTS);
        let under_faults = &self.rollouts_under_faults_s;
        table.add("under faults: median, s", format_seconds(under_faults.median()));
        table.add("... 99th percentile, s", format_seconds(under_faults.percentile(0.99)));
    }

    /// Returns the totals for the last line of the output.
    pub(crate) fn summary(&self, schedules: usize) -> String {
        format!(
            "{schedules} schedules, {} versions, {:.3} s apart at worst, {:.3} s to be in force at rest",
            self.accepted_versions,
            self.max_contradiction_s(),
            self.max_rollout_without_faults_s()
        )
    }

    fn max_contradiction_s(&self) -> f64 {
        self.contradictions_s.maximum().unwrap_or(0.0)
    }

    fn max_rollout_without_faults_s(&self) -> f64 {
        self.rollouts_without_faults_s.maximum().unwrap_or(0.0)
    }
}

fn format_seconds(seconds: f64) -> String {
    format!("{seconds:.3}")
}
