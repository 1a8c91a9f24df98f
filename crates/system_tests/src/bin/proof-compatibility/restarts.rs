//! The appliance's form is killed and started again from its disks, each time by the other build.

use crate::{Pair, propose, proposed_versions, report_convergence, run_and_report, schedule};
use fault_injection::history::{Observation, Outcome, Record};
use fault_injection::schedule::{FailureMode, Fault, FaultKind, Form, SiteOptions};
use system_tests::{Error, Table};

const GATEKEEPERS: usize = 5;
const LENGTH_MS: u64 = 20_000;
/// When all gatekeepers are killed and restarted with the other build.
const RESTARTS_MS: [u64; 2] = [6_000, 13_000];
/// Delay before killed gatekeepers are restarted.
const DOWN_MS: u64 = 300;
/// Time from the begin of an outage of Consul to a restart.
const CONSUL_DOWN_BEFORE_MS: u64 = 100;
/// Duration of an outage of Consul.
const CONSUL_DOWN_MS: u64 = 3_000;

/// Requests that were served between the end of a restart and Consul's return.
fn served_from_cached_list(history: &[Record], restart: usize) -> usize {
    let end_us = |wanted: &str| {
        let is_end =
            |o: &Observation| matches!(o, Observation::Fault { kind, begins: false, .. } if kind == wanted);
        let ends = history.iter().filter(|record| is_end(&record.observation));
        ends.map(|record| record.at_us).nth(restart).unwrap_or(u64::MAX)
    };
    let (from_us, to_us) = (end_us("killed"), end_us("consul silent"));
    let is_served = |record: &&Record| {
        matches!(record.observation, Observation::RequestEnded { outcome: Outcome::Served, .. })
            && from_us < record.at_us
            && record.at_us < to_us
    };
    history.iter().filter(is_served).count()
}

/// Returns how many requests there were.
pub(crate) fn run(pair: &Pair, table: &mut Table) -> Result<u64, Error> {
    let mut faults =
        vec![propose(4_000, "m4", 16.0), propose(10_500, "m3", 12.0), propose(17_500, "m0", 18.0)];
    for at_ms in RESTARTS_MS {
        faults.push(Fault::new(at_ms, DOWN_MS, FaultKind::Killed { target: "*".into() }));
        let silent = FaultKind::Consul { target: "*".into(), mode: FailureMode::Silent };
        faults.push(Fault::new(at_ms - CONSUL_DOWN_BEFORE_MS, CONSUL_DOWN_MS, silent));
    }
    faults.sort_by_key(|fault| fault.start_ms);
    let options = SiteOptions { replicas: 3, ..SiteOptions::default() };
    let schedule = schedule("restarts", Form::Appliance, GATEKEEPERS, LENGTH_MS, options, faults);
    let result = run_and_report(&schedule, pair.alternating(), table)?;
    let versions = proposed_versions(&result.history);
    table.add("restarts: versions proposed, before, between and after", format!("{versions:?}"));
    let in_order = versions == [1, 2, 3];
    table.add_condition("restarts: replicas went on from the other build's logs", in_order);
    for (restart, name) in ["old to new", "new to old"].into_iter().enumerate() {
        let served = served_from_cached_list(&result.history, restart);
        let name = format!("restarts: {name}: requests served from the cached list, Consul away");
        table.add_with_minimum(&name, served as f64, 20.0);
    }
    report_convergence(&result, "restarts", table);
    Ok(result.outcomes.values().sum())
}
