//! The schedule with clocks that differ by as much as the configuration allows. Two instances are killed, and the lease store
//! loses its state.

use crate::gaps::{all_run_again_after, max_missed_runs};
use crate::phases::span_of_faults;
use crate::run_and_report;
use crate::schedule::{INSTANCES, MAX_CLOCK_SKEW_MS, all_jobs, schedule};
use fault_injection::history::Span;
use fault_injection::schedule::{FailureMode, Fault, FaultKind};
use fault_injection::site::JOB_PERIOD_MS;
use system_tests::{Error, JobRuns, Table, seconds_or_infinity};

const LENGTH_MS: u64 = 18_000;
/// Clock offset of each instance, by its number.
const OFFSETS_MS: [i64; INSTANCES] =
    [0, MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS / 2, 0, MAX_CLOCK_SKEW_MS, 50, 250, 100];
/// Instances that are killed. Their clocks have no offset.
const KILLED: [&str; 2] = ["m0", "m3"];
/// Time from the setting of the clocks until jobs must run without gaps.
const SETTLING_TIME_US: u64 = 3_000_000;
/// Maximum time from the loss of the lease store's state until all jobs have run again, s.
const MAX_RECOVERY_S: f64 = (2 * JOB_PERIOD_MS) as f64 / 1_000.0 + 2.0 * MAX_CLOCK_SKEW_MS as f64 / 1_000.0;

/// Runs the schedule and adds its figures to the table.
pub(crate) fn run(table: &mut Table) -> Result<(), Error> {
    let mut faults = clock_offsets();
    let offset_indexes = 0..faults.len();
    faults.extend(KILLED.map(killed));
    let store_loss_index = faults.len();
    faults.push(store_loss());
    let result = run_and_report(&schedule("duties, clocks apart", LENGTH_MS, faults), table)?;

    let runs = JobRuns::of(&result.history);
    let jobs = all_jobs();
    let offsets_set_us = span_of_faults(&result.history, offset_indexes).from_us;
    let store_lost_us = span_of_faults(&result.history, store_loss_index..store_loss_index + 1).to_us;
    table.add_with_maximum("clocks 300 ms apart: rounds run twice", runs.repeated() as f64, 0.0);
    let before_loss = Span { from_us: offsets_set_us + SETTLING_TIME_US, to_us: store_lost_us };
    let missed = max_missed_runs(&runs, &jobs, before_loss);
    table.add_with_maximum("... rounds missed in a row, two killed meanwhile", missed, 1.0);
    let recovery_s = seconds_or_infinity(all_run_again_after(&runs, &jobs, store_lost_us));
    table.add_with_maximum(
        "... store emptied: the last duty runs again after, s",
        recovery_s,
        MAX_RECOVERY_S,
    );
    Ok(())
}

fn clock_offsets() -> Vec<Fault> {
    let offsets = OFFSETS_MS.into_iter().enumerate().filter(|(_, offset_ms)| *offset_ms != 0);
    offsets.map(|(instance, offset_ms)| clock_offset(instance, offset_ms)).collect()
}

fn clock_offset(instance: usize, offset_ms: i64) -> Fault {
    let kind = FaultKind::ClockOffset { target: format!("m{instance}"), offset_ms, running: true };
    Fault::from_millis(500, 17_000, kind)
}

fn killed(target: &str) -> Fault {
    Fault::from_millis(8_000, 2_000, FaultKind::Killed { target: target.into() })
}

fn store_loss() -> Fault {
    let kind = FaultKind::Consul { target: "*".into(), mode: FailureMode::RestartedEmpty };
    Fault::from_millis(13_000, 10, kind)
}
