//! The schedules.

use fault_injection::schedule::{FailureMode, Fault, FaultKind, Form, Schedule, SiteOptions};
use std::collections::BTreeSet;

pub(crate) const INSTANCES: usize = 8;
pub(crate) const JOBS: usize = 64;
/// The most by which clocks differ, as stated to the instances, ms.
pub(crate) const MAX_CLOCK_SKEW_MS: i64 = 300;
/// The first job after the reload that changes them ...
const FIRST_CHANGED_JOB: usize = 16;
/// ... and how many there are then.
const CHANGED_JOBS: usize = JOBS - 12;

/// The names of jobs with these numbers.
fn job_names(numbers: std::ops::Range<usize>) -> BTreeSet<String> {
    numbers.map(|number| format!("duty-{number}")).collect()
}

/// The usual jobs.
pub(crate) fn usual_jobs() -> BTreeSet<String> {
    job_names(0..JOBS)
}

/// The jobs after the reload.
pub(crate) fn changed_jobs() -> BTreeSet<String> {
    job_names(FIRST_CHANGED_JOB..FIRST_CHANGED_JOB + CHANGED_JOBS)
}

/// Half of the instances.
pub(crate) fn half() -> impl Iterator<Item = String> {
    (0..INSTANCES).step_by(2).map(|i| format!("m{i}"))
}

/// A schedule of the appliance without load.
pub(crate) fn schedule(name: &str, length_ms: u64, faults: Vec<Fault>) -> Schedule {
    let options = SiteOptions { jobs: JOBS, standbys: INSTANCES - 1, load: false, ..SiteOptions::default() };
    Schedule {
        name: name.into(),
        seed: 1,
        form: Form::Appliance,
        gatekeepers: INSTANCES,
        backends: 1,
        length_ms,
        options,
        faults,
    }
}

/// A part of the course. The bounds on missed runs hold from its begin to the next one's.
pub(crate) struct Phase {
    /// As the table names it.
    pub(crate) name: &'static str,
    pub(crate) faults: Vec<Fault>,
}

pub(crate) const HALF_KILLED: &str = "half killed at once";
pub(crate) const STORE_SILENT: &str = "the store silent";
pub(crate) const STORE_EMPTY: &str = "the store back empty";
pub(crate) const ONE_LEAVES: &str = "one leaves";
pub(crate) const JOBS_CHANGED: &str = "duties changed by a reload";

fn suspended(target: &str, start_ms: u64, duration_ms: u64) -> Fault {
    Fault::new(start_ms, duration_ms, FaultKind::Suspended { target: target.into() })
}

fn consul(target: &str, start_ms: u64, duration_ms: u64, mode: FailureMode) -> Fault {
    Fault::new(start_ms, duration_ms, FaultKind::Consul { target: target.into(), mode })
}

fn first_four() -> impl Iterator<Item = String> {
    (0..4).map(|i| format!("m{i}"))
}

/// The first four are cut off from the others.
fn partition(start_ms: u64, duration_ms: u64) -> Vec<Fault> {
    let cut = |from: String| {
        (4..INSTANCES).map(move |i| FaultKind::Cut {
            from: from.clone(),
            to: format!("m{i}"),
            one_way: false,
        })
    };
    first_four().flat_map(cut).map(|kind| Fault::new(start_ms, duration_ms, kind)).collect()
}

/// All that happens while clocks agree.
pub(crate) fn phases() -> Vec<Phase> {
    let killed = half().map(|target| Fault::new(14_000, 6_000, FaultKind::Killed { target }));
    let closed = first_four().map(|target| consul(&target, 60_000, 4_000, FailureMode::Closed));
    let jobs_changed =
        FaultKind::JobsChanged { target: "*".into(), first_job: FIRST_CHANGED_JOB, job_count: CHANGED_JOBS };
    let phases = [
        (HALF_KILLED, killed.collect()),
        ("one paused", vec![suspended("m1", 26_000, 5_000)]),
        ("two paused", vec![suspended("m3", 35_000, 4_000), suspended("m5", 35_000, 4_000)]),
        (STORE_SILENT, vec![consul("*", 43_000, 5_000, FailureMode::Silent)]),
        (STORE_EMPTY, vec![consul("*", 48_000, 10, FailureMode::RestartedEmpty)]),
        ("split, store reachable from both sides", partition(53_000, 5_000)),
        (
            "split, store reachable from one side",
            partition(60_000, 4_000).into_iter().chain(closed).collect(),
        ),
        ("answers to claims lost", vec![consul("*", 69_000, 1_000, FailureMode::ResponseLost)]),
        (ONE_LEAVES, vec![Fault::new(74_000, 2_000, FaultKind::ShutDown { target: "m7".into() })]),
        (JOBS_CHANGED, vec![Fault::new(80_000, 5_000, jobs_changed)]),
    ];
    phases.into_iter().map(|(name, faults)| Phase { name, faults }).collect()
}

#[cfg(test)]
mod tests;
