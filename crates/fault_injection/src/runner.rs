//! Runs a schedule on a site and checks the history of the run.

#[cfg(test)]
mod tests;

use crate::Error;
use crate::builds::Builds;
use crate::checkers::{self, Violation};
use crate::history::{Observation, Outcome, Record, Recorder, now_us};
use crate::network::Traffic;
use crate::schedule::{Fault, Schedule};
use crate::site::{Site, write_common_files};
use fault_harness::clock::ScheduleClock;
use fault_harness::timeline::inject_each;
use fault_harness::wait::wait_until;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Maximum wait for all gatekeepers to agree after the last fault. It is longer than the bound that the rule checks.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(35);
/// Maximum wait for all gatekeepers to agree at the start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of the checks whether all gatekeepers agree. Each check sends a request to every gatekeeper; with 12 gatekeepers
/// and 50 checks a second these requests would exhaust the quota of their tenant.
const CONVERGENCE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which resource use is recorded.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum wait for the records of all process exits after the shutdown of a site.
const EXIT_TIMEOUT: Duration = Duration::from_secs(2);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Result of running a schedule.
#[derive(Debug)]
pub struct RunResult {
    /// Violations of the rules, and faults that could not be injected.
    pub violations: Vec<Violation>,
    /// Number of injected faults by name of their kind.
    pub faults: BTreeMap<String, u64>,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Time in ms from the end of the last fault until all gatekeepers agreed; absent if they did not.
    pub converged_after_ms: Option<u64>,
    /// Total traffic of all links.
    pub traffic: Traffic,
    /// All observations of the run, ordered by time.
    pub history: Vec<Record>,
}

/// Result of injecting the faults of a schedule, after the end of all of them.
struct InjectedFaults {
    errors: Vec<Error>,
    last_end_us: u64,
}

/// Starts a site in this folder, runs the schedule on it, shuts it down, and checks the history.
///
/// # Errors
///
/// The site could not be started. A fault that cannot be injected is reported as a violation instead.
pub fn run(schedule: &Schedule, builds: impl Into<Builds>, folder: &Path) -> Result<RunResult, Error> {
    write_common_files(folder)?;
    let site = Site::start(schedule, builds, folder)?;
    if !wait_until(START_TIMEOUT, CONVERGENCE_POLL_INTERVAL, || site.divergence().is_empty()) {
        let divergence = format!("at the start, before any fault: {}", site.divergence());
        site.recorder.record(Observation::Converged { after_ms: None, divergence });
        return Ok(finish(&site, &[], None));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = site.start_load(&is_over);
    let sampler = start_sampler(&site, &is_over);
    let clock = ScheduleClock::start();
    let injected = inject_faults(&site, schedule, clock);
    let converged_after_ms = wait_for_convergence(&site, injected.last_end_us);
    clock.sleep_until(Duration::from_millis(schedule.length_ms));
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(sampler.join());
    Ok(finish(&site, &injected.errors, converged_after_ms))
}

/// Records the resource use of gatekeepers in a thread until the load is over.
fn start_sampler(site: &Arc<Site>, is_over: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (site, is_over) = (site.clone(), is_over.clone());
    thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            site.record_resource_use();
            thread::sleep(SAMPLE_INTERVAL);
        }
    })
}

/// Injects each fault in a thread of its own and waits until all faults have ended.
fn inject_faults(site: &Site, schedule: &Schedule, clock: ScheduleClock) -> InjectedFaults {
    let last_end_us = AtomicU64::new(now_us());
    let inject = |index: usize, fault: &Fault| {
        let wait_for_end = || clock.sleep_until(fault.end());
        let result = site.inject_fault(index, &fault.kind, &wait_for_end);
        last_end_us.fetch_max(now_us(), Ordering::Relaxed);
        result
    };
    let results = inject_each(clock, &schedule.faults, |fault| fault.start, inject).into_iter();
    let errors = results.filter_map(|result| result.unwrap_or(Err(Error::FaultPanicked)).err()).collect();
    InjectedFaults { errors, last_end_us: last_end_us.into_inner() }
}

/// Waits until all gatekeepers agree. Returns the time in ms from the end of the last fault, or `None` after the timeout.
fn wait_for_convergence(site: &Site, last_end_us: u64) -> Option<u64> {
    let divergence = RefCell::new(String::new());
    let has_converged = || {
        let current = site.divergence();
        let agrees = current.is_empty();
        if divergence.replace(current.clone()) != current && !agrees {
            site.recorder.record(Observation::DivergenceChanged { divergence: current });
        }
        agrees
    };
    let after_ms = wait_until(CONVERGENCE_TIMEOUT, CONVERGENCE_POLL_INTERVAL, has_converged)
        .then(|| (now_us() - last_end_us) / 1_000);
    site.recorder.record(Observation::Converged { after_ms, divergence: divergence.into_inner() });
    after_ms
}

/// Shuts the site down and checks its history.
fn finish(site: &Site, errors: &[Error], converged_after_ms: Option<u64>) -> RunResult {
    site.shut_down();
    let traffic = site.network.traffic();
    let history = complete_history(&site.recorder);
    let mut violations = checkers::check(&history, &Site::bounds());
    let violation = |error: &Error| Violation::new("a program comes back", error.to_string());
    violations.extend(errors.iter().map(violation));
    let mut faults = BTreeMap::new();
    for record in &history {
        if let Observation::Fault { kind, begins: true, .. } = &record.observation {
            *faults.entry(kind.clone()).or_default() += 1;
        }
    }
    let outcomes = checkers::outcomes(&history);
    RunResult { violations, faults, outcomes, converged_after_ms, traffic, history }
}

/// Waits until the exits of all processes are recorded, and returns the history.
fn complete_history(recorder: &Recorder) -> Vec<Record> {
    let all_exited = || {
        let records = recorder.records_by_time();
        let count =
            |wanted: fn(&Observation) -> bool| records.iter().filter(|r| wanted(&r.observation)).count();
        let started = count(|observation| matches!(observation, Observation::ProcessStarted { .. }));
        let exited = count(|observation| matches!(observation, Observation::ProcessExited { .. }));
        started == exited
    };
    wait_until(EXIT_TIMEOUT, EXIT_POLL_INTERVAL, all_exited);
    recorder.records_by_time()
}

/// Removes faults one at a time as long as the remaining schedule still fails. Returns the smallest failing schedule.
///
/// # Errors
///
/// The errors that `fails` returns.
pub fn shrink<E>(
    schedule: &Schedule,
    mut fails: impl FnMut(&Schedule) -> Result<bool, E>,
) -> Result<Schedule, E> {
    let mut smallest = schedule.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let reduced = smallest.without_fault(index);
        if fails(&reduced)? {
            smallest = reduced;
        } else {
            index += 1;
        }
    }
    Ok(smallest)
}
