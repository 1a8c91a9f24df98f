//! The platform's form is upgraded in service from the old build to the new one and back, several times.

use crate::{Pair, run_and_report, schedule};
use fault_injection::history::{Outcome, Record};
use fault_injection::schedule::{Fault, FaultKind, Form, SiteOptions};
use system_tests::gatekeeper_output::log_events::{HANDED_OVER, STARTED_WITHOUT_STATE};
use system_tests::{Error, Table};

/// Number of hot restarts of each gatekeeper, the first from the old build to the new one.
const UPGRADES: u64 = 6;
const GATEKEEPERS: usize = 2;
/// Interval of the upgrades of a gatekeeper.
const INTERVAL_MS: u64 = 2_000;
/// Time for which the predecessor runs beside its successor.
const SIDE_BY_SIDE_MS: u64 = 600;

/// How often a line with one of these texts was logged.
fn logged(history: &[Record], texts: &[&str]) -> usize {
    history.iter().filter(|record| record.observation.is_log_line_with(texts)).count()
}

/// Returns how many requests there were.
pub(crate) fn run(pair: &Pair, table: &mut Table) -> Result<u64, Error> {
    let kind = || FaultKind::Upgrade { target: "*".into(), new_dies_after_us: None, old_dies_after_us: None };
    let faults = (1..=UPGRADES).map(|n| Fault::new(n * INTERVAL_MS, SIDE_BY_SIDE_MS, kind())).collect();
    let length_ms = INTERVAL_MS * (UPGRADES + 1);
    let schedule =
        schedule("upgrades", Form::Platform, GATEKEEPERS, length_ms, SiteOptions::default(), faults);
    let result = run_and_report(&schedule, pair.alternating(), table)?;
    let count = |outcome| result.outcomes.get(&outcome).copied().unwrap_or(0);
    let all: u64 = result.outcomes.values().sum();
    table.add("upgrades: requests", all);
    table.add_with_minimum("upgrades: requests served", count(Outcome::Served) as f64, 500.0);
    table.add("upgrades: requests rejected by quota", count(Outcome::Rejected));
    let lost = [Outcome::Unanswered, Outcome::NotAccepted, Outcome::Foreign, Outcome::Failed].map(count);
    table.add_with_maximum("upgrades: requests lost or failed", lost.iter().sum::<u64>() as f64, 0.0);
    let handed_over = logged(&result.history, &HANDED_OVER) as f64;
    let wanted = (UPGRADES as usize * GATEKEEPERS) as f64;
    table.add_with_minimum("upgrades: in service, there and back", handed_over, wanted);
    let alone = logged(&result.history, &STARTED_WITHOUT_STATE);
    table.add_with_maximum("upgrades: successors that took over nothing, or not all", alone as f64, 0.0);
    Ok(all)
}
