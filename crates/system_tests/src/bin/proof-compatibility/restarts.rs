//! The part in which the appliance form is killed and restarted from its disks, each time with the other build.

use crate::build_pair::BuildPair;
use crate::schedules::{add_convergence, request_count, run_and_report, schedule, version_proposed};
use crate::versions::proposed_versions;
use fault_injection::history::{Observation, Outcome, Record};
use fault_injection::schedule::{FailureMode, Fault, FaultKind, Form, Schedule, SiteOptions};
use system_tests::{Error, Table};

const GATEKEEPERS: usize = 5;
const LENGTH_MS: u64 = 20_000;
/// Times at which all gatekeepers are killed, to be restarted with the other build.
const RESTARTS_MS: [u64; 2] = [6_000, 13_000];
/// Names of the restarts: from which build to which.
const RESTART_NAMES: [&str; 2] = ["old to new", "new to old"];
/// Time from the kill of the gatekeepers to their restart.
const RESTART_DELAY_MS: u64 = 300;
/// Time from the start of a Consul outage to the kill of the gatekeepers.
const CONSUL_OUTAGE_LEAD_MS: u64 = 100;
/// Duration of a Consul outage.
const CONSUL_OUTAGE_MS: u64 = 3_000;
/// The versions that the proposals before, between and after the restarts must get.
const VERSIONS: [u64; 3] = [1, 2, 3];
/// Minimum number of requests that are served from the cached endpoint list after each restart.
const MIN_SERVED_FROM_CACHE: f64 = 20.0;

/// Runs the schedule, adds its figures to the table, and returns the number of requests.
pub(crate) fn run(builds: &BuildPair, table: &mut Table) -> Result<u64, Error> {
    let result = run_and_report(&restart_schedule(), builds.alternating(), table)?;
    let versions = proposed_versions(&result.history);
    table.add("restarts: versions proposed, before, between and after", format!("{versions:?}"));
    table.add_condition("restarts: replicas went on from the other build's logs", versions == VERSIONS);
    for (restart, name) in RESTART_NAMES.into_iter().enumerate() {
        let served = served_from_cached_list(&result.history, restart);
        let name = format!("restarts: {name}: requests served from the cached list, Consul away");
        table.add_with_minimum(&name, served as f64, MIN_SERVED_FROM_CACHE);
    }
    add_convergence("restarts", &result, table);
    Ok(request_count(&result))
}

fn restart_schedule() -> Schedule {
    let mut faults = vec![
        version_proposed(4_000, "m4", 16.0),
        version_proposed(10_500, "m3", 12.0),
        version_proposed(17_500, "m0", 18.0),
    ];
    faults.extend(RESTARTS_MS.into_iter().flat_map(restart_without_consul));
    faults.sort_by_key(|fault| fault.start);
    Schedule {
        options: SiteOptions { replicas: 3, ..SiteOptions::default() },
        faults,
        ..schedule("restarts", Form::Appliance, GATEKEEPERS, LENGTH_MS)
    }
}

fn restart_without_consul(killed_at_ms: u64) -> [Fault; 2] {
    let killed = FaultKind::Killed { target: "*".into() };
    let silent = FaultKind::Consul { target: "*".into(), mode: FailureMode::Silent };
    [
        Fault::from_millis(killed_at_ms, RESTART_DELAY_MS, killed),
        Fault::from_millis(killed_at_ms - CONSUL_OUTAGE_LEAD_MS, CONSUL_OUTAGE_MS, silent),
    ]
}

/// Returns the number of requests that were served between the end of a restart and the end of the Consul outage.
fn served_from_cached_list(history: &[Record], restart: usize) -> usize {
    let restarted_us = end_of_fault_us(history, "killed", restart);
    let consul_back_us = end_of_fault_us(history, "consul silent", restart);
    let is_served = |record: &&Record| {
        matches!(record.observation, Observation::RequestEnded { outcome: Outcome::Served, .. })
    };
    let served = history.iter().filter(is_served);
    served.filter(|record| restarted_us < record.at_us && record.at_us < consul_back_us).count()
}

/// Returns when the fault with this number among those of its kind ended, or `u64::MAX` if it did not end.
fn end_of_fault_us(history: &[Record], fault_kind: &str, number: usize) -> u64 {
    let is_end = |record: &&Record| matches!(&record.observation, Observation::Fault { kind, begins: false, .. } if kind == fault_kind);
    history.iter().filter(is_end).nth(number).map_or(u64::MAX, |record| record.at_us)
}
