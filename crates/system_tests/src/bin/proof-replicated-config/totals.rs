//! Figures of all schedules together.

use fault_injection::checkers::longest_contradiction;
use fault_injection::history::{Observation, Record};
use fault_injection::runner::RunResult;
use fault_injection::schedule::Schedule;
use std::collections::BTreeMap;
use system_tests::{Table, accepted_version, percentile, seconds, sole_version};

/// Two that contradict each other for longer are named.
const REPORTED_CONTRADICTION_MS: u64 = 100;
/// The schedule without faults.
const AT_REST: &str = "at rest";
/// Maximum number of violations that are printed for a schedule.
const MAX_PRINTED: usize = 4;

/// When a version was accepted, and when the last gatekeeper that was notified of it in time acted on it alone.
struct Rollout {
    accepted_us: u64,
    complete_us: u64,
}

/// The roll-out of each version.
fn rollouts(history: &[Record]) -> BTreeMap<u64, Rollout> {
    let mut all: BTreeMap<u64, Rollout> = BTreeMap::new();
    for Record { at_us, observation } in history {
        if let Some(version) = accepted_version(observation) {
            all.entry(version).or_insert(Rollout { accepted_us: *at_us, complete_us: *at_us });
        }
        let sole = sole_version(observation);
        if let Some(rollout) = sole.and_then(|sole| all.get_mut(&sole.version)) {
            rollout.complete_us = *at_us;
        }
    }
    all
}

/// Figures of all schedules together.
#[derive(Default)]
pub(crate) struct Totals {
    faults: BTreeMap<String, u64>,
    accepted: u64,
    /// Proposals that failed, by exit code.
    rejected: BTreeMap<i32, u64>,
    /// The longest contradiction of each schedule, s.
    contradictions: Vec<f64>,
    /// How long roll-outs took without faults, s.
    rollouts_at_rest: Vec<f64>,
    /// How long they took under faults, s.
    rollouts_under_faults: Vec<f64>,
    /// Names of schedules that failed.
    failed: Vec<String>,
    requests: u64,
}

impl Totals {
    pub(crate) fn add_failure(&mut self, schedule: &Schedule) {
        self.failed.push(schedule.name.clone());
    }

    pub(crate) fn add(&mut self, schedule: &Schedule, result: &RunResult) {
        for (kind, count) in &result.faults {
            *self.faults.entry(kind.clone()).or_default() += count;
        }
        self.requests += result.outcomes.values().sum::<u64>();
        for record in &result.history {
            if let Observation::VersionProposed { exit_code, .. } = &record.observation {
                self.accepted += u64::from(*exit_code == 0);
                *self.rejected.entry(*exit_code).or_default() += u64::from(*exit_code != 0);
            }
        }
        let contradiction = longest_contradiction(&result.history);
        let longest_ms = contradiction.longest_ms;
        self.contradictions.push(longest_ms as f64 / 1_000.0);
        if longest_ms > REPORTED_CONTRADICTION_MS {
            println!("{}: apart for {longest_ms} ms: {}", schedule.name, contradiction.description);
        }
        let rollouts = rollouts(&result.history).into_values();
        let took = rollouts.map(|rollout| seconds(rollout.complete_us - rollout.accepted_us));
        if schedule.name == AT_REST {
            self.rollouts_at_rest.extend(took);
        } else {
            self.rollouts_under_faults.extend(took);
        }
        if !result.violations.is_empty() {
            self.add_failure(schedule);
            for violation in result.violations.iter().take(MAX_PRINTED) {
                println!("{}: {}: {}", schedule.name, violation.rule, violation.text);
            }
        }
    }

    /// Fills the table and returns the last line's figures.
    pub(crate) fn report(mut self, table: &mut Table, schedules: usize) -> String {
        for figures in [&mut self.contradictions, &mut self.rollouts_at_rest, &mut self.rollouts_under_faults]
        {
            figures.sort_by(f64::total_cmp);
        }
        let worst = |sorted: &[f64]| sorted.last().copied().unwrap_or(0.0);
        let share = |sorted: &[f64], share| format!("{:.3}", percentile(sorted, share));
        let (apart, at_rest) = (worst(&self.contradictions), worst(&self.rollouts_at_rest));
        table.add("schedules, operations", format!("{schedules}, {}", self.requests));
        for (kind, count) in &self.faults {
            table.add(&format!("fault: {kind}"), count);
        }
        table.add("versions taken", self.accepted);
        for (code, count) in self.rejected.iter().filter(|(code, _)| **code != 0) {
            table.add(&format!("proposals that ended with code {code}"), count);
        }
        table.add_with_maximum("two act on versions that contradict each other, longest, s", apart, 0.25);
        table.add("... 99th percentile of schedules, s", share(&self.contradictions, 0.99));
        table.add("at rest, until in force everywhere: median, s", share(&self.rollouts_at_rest, 0.5));
        table.add_with_maximum("... worst, s", at_rest, 1.0);
        table.add_with_minimum("... versions taken", self.rollouts_at_rest.len() as f64, 3.0);
        table.add("under faults: median, s", share(&self.rollouts_under_faults, 0.5));
        table.add("... 99th percentile, s", share(&self.rollouts_under_faults, 0.99));
        table.add_with_maximum("schedules that failed", self.failed.len() as f64, 0.0);
        format!(
            "{schedules} schedules, {} versions, {apart:.3} s apart at worst, {at_rest:.3} s to be in force at rest",
            self.accepted
        )
    }
}
