//! What processes do: runs of periodic jobs, exits, and the resources that they use.

use super::rules::{NO_UNREQUESTED_EXIT, rule_broken_by_exit};
use super::{Bounds, Violation};
use crate::history::{Observation, Record};
use fault_harness::process::{ExitRequest, KILLED};
use std::collections::{HashMap, HashSet};

/// No run of a periodic job happens twice.
pub fn repeated_runs(history: &[Record], _: &Bounds) -> Vec<Violation> {
    let mut ran: HashMap<(&str, u64), &str> = HashMap::new();
    let mut violations = Vec::new();
    for record in history {
        let Observation::JobRan { job, run, instance } = &record.observation else { continue };
        if let Some(before) = ran.insert((job, *run), instance) {
            let text = format!("round {run} of {job} was run by {before} and by {instance}");
            violations.push(Violation::new("no round twice", text));
        }
    }
    violations
}

/// No process exits unless it is asked to, and one that is asked to shut down exits with 0.
pub fn unexpected_exits(history: &[Record], _: &Bounds) -> Vec<Violation> {
    let violation = |record: &Record| {
        let Observation::ProcessExited { process, exit_code, requested } = &record.observation else {
            return None;
        };
        rule_broken_by_exit(exit_request(*requested, *exit_code), *exit_code)?;
        let last_line = last_log_line(history, process);
        let text = format!("{process} ended with {exit_code}; its last line: {last_line}");
        // Reports of this harness have one rule for both kinds of broken exits.
        Some(Violation::new(NO_UNREQUESTED_EXIT, text).by(process))
    };
    history.iter().filter_map(violation).collect()
}

/// What a process that has exited was asked for. Only one that the harness has killed exits as killed on request.
fn exit_request(requested: bool, exit_code: i32) -> ExitRequest {
    match (requested, exit_code) {
        (false, _) => ExitRequest::None,
        (true, KILLED) => ExitRequest::Kill,
        (true, _) => ExitRequest::ShutDown,
    }
}

fn last_log_line<'a>(history: &'a [Record], wanted: &str) -> &'a str {
    let line = |record: &'a Record| match &record.observation {
        Observation::LogLine { process, text, .. } if process == wanted => Some(text.as_str()),
        _ => None,
    };
    history.iter().rev().find_map(line).unwrap_or_default()
}

/// Memory, descriptors and threads stay bounded. Each process is named once.
pub fn resource_use(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let limits = bounds.resources;
    let mut reported = HashSet::new();
    let mut violations = Vec::new();
    for record in history {
        let Observation::ResourceUse { process, memory_kb, descriptors, threads, .. } = &record.observation
        else {
            continue;
        };
        let is_beyond =
            *memory_kb > limits.memory_kb || *descriptors > limits.descriptors || *threads > limits.threads;
        if is_beyond && reported.insert(process) {
            let text =
                format!("{process} holds {memory_kb} kB, {descriptors} descriptors and {threads} threads");
            violations.push(Violation::new("bounded memory, descriptors and threads", text).by(process));
        }
    }
    violations
}
