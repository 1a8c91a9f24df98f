//! Checks of processes: runs of periodic jobs, exits, and the use of resources.

use super::rules::{NO_UNREQUESTED_EXIT, rule_broken_by_exit};
use super::{Bounds, Violation};
use crate::history::{Observation, Record};
use fault_harness::process::{ExitRequest, KILLED};
use std::collections::{HashMap, HashSet};

/// Checks that no run of a periodic job happens twice.
pub fn repeated_runs(history: &[Record], _: &Bounds) -> Vec<Violation> {
    let mut earlier_runs: HashMap<(&str, u64), &str> = HashMap::new();
    let mut violations = Vec::new();
    for record in history {
        let Observation::JobRan { job, run, instance } = &record.observation else { continue };
        if let Some(earlier_instance) = earlier_runs.insert((job, *run), instance) {
            let text = format!("round {run} of {job} was run by {earlier_instance} and by {instance}");
            violations.push(Violation::new("no round twice", text));
        }
    }
    violations
}

/// Checks that no process exits without a request, and that a process that is asked to shut down exits with 0.
pub fn unexpected_exits(history: &[Record], _: &Bounds) -> Vec<Violation> {
    let violation = |record: &Record| {
        let Observation::ProcessExited { process, exit_code, requested } = &record.observation else {
            return None;
        };
        rule_broken_by_exit(exit_request(*requested, *exit_code), *exit_code)?;
        let last_line = last_log_line(history, process);
        let text = format!("{process} ended with {exit_code}; its last line: {last_line}");
        // Reports of this harness use one rule name for both kinds of violations.
        Some(Violation::new(NO_UNREQUESTED_EXIT, text).by(process))
    };
    history.iter().filter_map(violation).collect()
}

/// The request that preceded an exit. A requested exit by SIGKILL means that the harness killed the process.
fn exit_request(requested: bool, exit_code: i32) -> ExitRequest {
    match (requested, exit_code) {
        (false, _) => ExitRequest::None,
        (true, KILLED) => ExitRequest::Kill,
        (true, _) => ExitRequest::ShutDown,
    }
}

fn last_log_line<'a>(history: &'a [Record], wanted_process: &str) -> &'a str {
    let line = |record: &'a Record| match &record.observation {
        Observation::LogLine { process, text, .. } if process == wanted_process => Some(text.as_str()),
        _ => None,
    };
    history.iter().rev().find_map(line).unwrap_or_default()
}

/// Checks that memory, descriptors and threads of each process stay within their limits. Each process is reported once.
pub fn resource_use(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let limits = bounds.resources;
    let mut reported = HashSet::new();
    let mut violations = Vec::new();
    for record in history {
        let Observation::ResourceUse { process, memory_kb, descriptors, threads, .. } = &record.observation
        else {
            continue;
        };
        let exceeds_limits =
            *memory_kb > limits.memory_kb || *descriptors > limits.descriptors || *threads > limits.threads;
        if exceeds_limits && reported.insert(process) {
            let text =
                format!("{process} holds {memory_kb} kB, {descriptors} descriptors and {threads} threads");
            violations.push(Violation::new("bounded memory, descriptors and threads", text).by(process));
        }
    }
    violations
}
