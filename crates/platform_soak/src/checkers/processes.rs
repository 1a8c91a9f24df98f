//! Checks processes: none panics or exits without a request, each serves in time and exits with code 0 on SIGTERM, and none logs
//! a violation of its own invariants.

use super::violation_by;
use crate::history::{History, Moment, ProcessEvent, ProcessRecord};
use fault_harness::process::ExitRequest;
use fault_harness::rules::rule_broken_by_exit;
use fault_harness::violation::Violation;
use std::time::Duration;

/// Maximum time from the start of a process until it serves.
const START_LIMIT: Duration = Duration::from_secs(10);

pub(super) fn check(history: &History) -> Vec<Violation> {
    let mut violations: Vec<Violation> = Vec::new();
    for record in &history.processes {
        let found = match &record.event {
            ProcessEvent::Exited { exit_code, request } => check_exit(record, *request, *exit_code),
            ProcessEvent::Started { .. } => check_start_time(history, record),
            ProcessEvent::Violation { line } => {
                Some(("no invariant broken by its own account", line.clone()))
            }
            ProcessEvent::Panicked { line } => Some(("no panic", line.clone())),
            _ => None,
        };
        violations.extend(found.map(|(rule, text)| violation_by(record.gatekeeper, rule, record.at, text)));
    }
    violations
}

fn same_process<'a>(history: &'a History, of: &'a ProcessRecord) -> impl Iterator<Item = &'a ProcessRecord> {
    let is_same = |other: &&ProcessRecord| other.gatekeeper == of.gatekeeper && other.process == of.process;
    history.processes.iter().filter(is_same)
}

fn check_exit(
    record: &ProcessRecord,
    request: ExitRequest,
    exit_code: i32,
) -> Option<(&'static str, String)> {
    let rule = rule_broken_by_exit(request, exit_code)?;
    Some((rule, format!("process {} exited with code {exit_code}", record.process)))
}

fn check_start_time(history: &History, started: &ProcessRecord) -> Option<(&'static str, String)> {
    let time_of = |event: fn(&ProcessEvent) -> bool| -> Option<Moment> {
        same_process(history, started).find(|other| event(&other.event)).map(|other| other.at)
    };
    let ready = time_of(|event| *event == ProcessEvent::Ready);
    let exit_requested = time_of(|event| matches!(event, ProcessEvent::Killed | ProcessEvent::Terminated));
    let took = match (ready, exit_requested) {
        (Some(ready), _) => ready - started.at,
        (None, Some(requested)) => requested - started.at,
        (None, None) => Duration::MAX,
    };
    (took > START_LIMIT).then(|| {
        ("ready in time", format!("process {} did not serve within the start limit", started.process))
    })
}
