//! The part in which the platform form is upgraded by hot restarts from the old build to the new one and back, several times.

use crate::build_pair::BuildPair;
use crate::schedules::{request_count, run_and_report, schedule};
use fault_injection::history::{Outcome, Record};
use fault_injection::runner::RunResult;
use fault_injection::schedule::{Fault, FaultKind, Form, Schedule};
use system_tests::gatekeeper_output::log_events::{HANDED_OVER, STARTED_WITHOUT_STATE};
use system_tests::{Error, Table};

/// Number of hot restarts of each gatekeeper. The first one is from the old build to the new one.
const UPGRADES: u64 = 6;
const GATEKEEPERS: usize = 2;
/// Interval between two upgrades of a gatekeeper.
const INTERVAL_MS: u64 = 2_000;
/// Time for which the predecessor and its successor run side by side.
const OVERLAP_MS: u64 = 600;
const MIN_SERVED: f64 = 500.0;
/// Request outcomes that an upgrade must not cause.
const LOST_OUTCOMES: [Outcome; 4] =
    [Outcome::Unanswered, Outcome::NotAccepted, Outcome::Foreign, Outcome::Failed];

/// Runs the schedule, adds its figures to the table, and returns the number of requests.
pub(crate) fn run(builds: &BuildPair, table: &mut Table) -> Result<u64, Error> {
    let result = run_and_report(&upgrade_schedule(), builds.alternating(), table)?;
    add_requests(&result, table);
    add_hand_overs(&result.history, table);
    Ok(request_count(&result))
}

fn upgrade_schedule() -> Schedule {
    let upgrade = |number| {
        let kind =
            FaultKind::Upgrade { target: "*".into(), new_dies_after_us: None, old_dies_after_us: None };
        Fault::from_millis(number * INTERVAL_MS, OVERLAP_MS, kind)
    };
    Schedule {
        faults: (1..=UPGRADES).map(upgrade).collect(),
        ..schedule("upgrades", Form::Platform, GATEKEEPERS, INTERVAL_MS * (UPGRADES + 1))
    }
}

fn add_requests(result: &RunResult, table: &mut Table) {
    let count = |outcome: Outcome| result.outcomes.get(&outcome).copied().unwrap_or(0);
    table.add("upgrades: requests", request_count(result));
    table.add_with_minimum("upgrades: requests served", count(Outcome::Served) as f64, MIN_SERVED);
    table.add("upgrades: requests rejected by quota", count(Outcome::Rejected));
    let lost: u64 = LOST_OUTCOMES.into_iter().map(count).sum();
    table.add_with_maximum("upgrades: requests lost or failed", lost as f64, 0.0);
}

fn add_hand_overs(history: &[Record], table: &mut Table) {
    let handed_over = log_event_count(history, &HANDED_OVER) as f64;
    let upgrades = (UPGRADES as usize * GATEKEEPERS) as f64;
    table.add_with_minimum("upgrades: in service, there and back", handed_over, upgrades);
    let without_state = log_event_count(history, &STARTED_WITHOUT_STATE) as f64;
    table.add_with_maximum("upgrades: successors that took over nothing, or not all", without_state, 0.0);
}

/// Returns the number of log events whose message contains any of these texts.
fn log_event_count(history: &[Record], texts: &[&str]) -> usize {
    history.iter().filter(|record| record.observation.is_log_line_with(texts)).count()
}
