//! Clocks apart by as much as is stated: two instances are killed, and the store loses its state.

use crate::job_runs::{JobRuns, span_of_faults};
use crate::run_and_report;
use crate::schedules::{INSTANCES, MAX_CLOCK_SKEW_MS, schedule, usual_jobs};
use fault_injection::history::Span;
use fault_injection::schedule::{FailureMode, Fault, FaultKind};
use fault_injection::site::JOB_PERIOD_MS;
use system_tests::{Error, Table};

const LENGTH_MS: u64 = 18_000;
/// Clock offset of each instance.
const OFFSETS_MS: [i64; INSTANCES] =
    [0, MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS / 2, 0, MAX_CLOCK_SKEW_MS, 50, 250, 100];
/// Instances that are killed. Their clocks have no offset.
const KILLED: [&str; 2] = ["m0", "m3"];
/// Time after setting the clocks from which jobs run without gaps.
const SETTLED_US: u64 = 3_000_000;
/// The store's state is lost: the last job runs again within this, s.
const RUNS_AGAIN_S: f64 = (2 * JOB_PERIOD_MS) as f64 / 1_000.0 + 2.0 * MAX_CLOCK_SKEW_MS as f64 / 1_000.0;

fn clock_offset((instance, offset_ms): (usize, i64)) -> Fault {
    let kind = FaultKind::ClockOffset { target: format!("m{instance}"), offset_ms, running: true };
    Fault::new(500, 17_000, kind)
}

/// Runs the schedule and fills the table.
pub(crate) fn run(table: &mut Table) -> Result<(), Error> {
    let offsets = OFFSETS_MS.into_iter().enumerate().filter(|(_, offset_ms)| *offset_ms != 0);
    let mut faults: Vec<Fault> = offsets.map(clock_offset).collect();
    let offset_indexes = 0..faults.len();
    let killed = |target: &str| Fault::new(8_000, 2_000, FaultKind::Killed { target: target.into() });
    faults.extend(KILLED.map(killed));
    let loss_index = faults.len();
    let loss = FaultKind::Consul { target: "*".into(), mode: FailureMode::RestartedEmpty };
    faults.push(Fault::new(13_000, 10, loss));
    let result = run_and_report(&schedule("duties, clocks apart", LENGTH_MS, faults), table)?;
    let runs = JobRuns::of(&result.history);
    let jobs = usual_jobs();
    let set_us = span_of_faults(&result.history, &offset_indexes).from_us;
    let lost_us = span_of_faults(&result.history, &(loss_index..loss_index + 1)).to_us;
    table.add_with_maximum("clocks 300 ms apart: rounds run twice", runs.repeated() as f64, 0.0);
    let missed = runs.missed(&jobs, Span { from_us: set_us + SETTLED_US, to_us: lost_us });
    table.add_with_maximum("... rounds missed in a row, two killed meanwhile", missed, 1.0);
    let again = runs.all_run_again_after(&jobs, lost_us);
    table.add_with_maximum("... store emptied: the last duty runs again after, s", again, RUNS_AGAIN_S);
    Ok(())
}
