//! Processes: none ends unasked or panics, each ends with status 0 when it is told to, starts in time, and reports no broken
//! invariant of its own.

use super::Violation;
use crate::history::{History, Moment, ProcessEvent, ProcessRecord};
use std::time::Duration;

/// A process serves within this.
const START_LIMIT: Duration = Duration::from_secs(10);

pub(super) fn check(history: &History) -> Vec<Violation> {
    let mut violations: Vec<Violation> = Vec::new();
    for record in &history.processes {
        let found = match &record.event {
            ProcessEvent::Exited { exit_code } => exit(history, record, *exit_code),
            ProcessEvent::Started { .. } => slow_start_up(history, record),
            ProcessEvent::Violation { line } => {
                Some(("no invariant broken by its own account", line.clone()))
            }
            ProcessEvent::Panicked { line } => Some(("no panic", line.clone())),
            _ => None,
        };
        violations.extend(found.map(|(rule, text)| Violation {
            rule,
            at: record.at,
            gatekeeper: Some(record.gatekeeper),
            text,
        }));
    }
    violations
}

fn same_process<'a>(history: &'a History, of: &'a ProcessRecord) -> impl Iterator<Item = &'a ProcessRecord> {
    let is_same = |other: &&ProcessRecord| other.gatekeeper == of.gatekeeper && other.process == of.process;
    history.processes.iter().filter(is_same)
}

fn exit(history: &History, record: &ProcessRecord, exit_code: i32) -> Option<(&'static str, String)> {
    let has = |event: &ProcessEvent| {
        same_process(history, record).any(|other| other.event == *event && other.at <= record.at)
    };
    if has(&ProcessEvent::Killed) {
        return None;
    }
    if !has(&ProcessEvent::Terminated) {
        return Some(("no exit unasked", format!("process {} ended with {exit_code}", record.process)));
    }
    (exit_code != 0).then(|| ("a clean exit", format!("process {} ended with {exit_code}", record.process)))
}

fn slow_start_up(history: &History, started: &ProcessRecord) -> Option<(&'static str, String)> {
    let at = |event: fn(&ProcessEvent) -> bool| -> Option<Moment> {
        same_process(history, started).find(|other| event(&other.event)).map(|other| other.at)
    };
    let ready = at(|event| *event == ProcessEvent::Ready);
    let asked_to_end = at(|event| matches!(event, ProcessEvent::Killed | ProcessEvent::Terminated));
    let took = match (ready, asked_to_end) {
        (Some(ready), _) => ready - started.at,
        (None, Some(ended)) => ended - started.at,
        (None, None) => Duration::MAX,
    };
    (took > START_LIMIT).then(|| ("ready in time", format!("process {} was not ready", started.process)))
}
