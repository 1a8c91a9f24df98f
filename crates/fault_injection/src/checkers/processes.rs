//! What processes do: runs of periodic jobs, exits, and the resources that they use.

use super::{Bounds, Violation};
use crate::history::{Observation, Record};
use std::collections::{HashMap, HashSet};

/// The exit code of a process that was killed: the negative number of SIGKILL.
const KILLED: i32 = -9;

/// No run of a periodic job happens twice.
pub fn repeated_runs(history: &[Record], _: &Bounds) -> Vec<Violation> {
    let mut ran: HashMap<(&str, u64), &str> = HashMap::new();
    let mut violations = Vec::new();
    for record in history {
        let Observation::JobRan { job, run, instance } = &record.observation else { continue };
        if let Some(before) = ran.insert((job, *run), instance) {
            let text = format!("round {run} of {job} was run by {before} and by {instance}");
            violations.push(Violation { rule: "no round twice", text });
        }
    }
    violations
}

/// No process ends unless it is asked to, and one that is asked to shut down ends with 0.
pub fn unexpected_exits(history: &[Record], _: &Bounds) -> Vec<Violation> {
    let violation = |record: &Record| match &record.observation {
        Observation::ProcessExited { process, exit_code, requested }
            if !requested || (*exit_code != 0 && *exit_code != KILLED) =>
        {
            let last_line = last_log_line(history, process);
            let text = format!("{process} ended with {exit_code}; its last line: {last_line}");
            Some(Violation { rule: "no exit unasked", text })
        }
        _ => None,
    };
    history.iter().filter_map(violation).collect()
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
            violations.push(Violation { rule: "bounded memory, descriptors and threads", text });
        }
    }
    violations
}
