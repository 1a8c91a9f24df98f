//! Tests each rule with a small history that keeps it, and with one that breaks this rule and no other.

use super::*;
use crate::history::{
    AttemptRecord, BackendIndex, ListChange, Notification, PartialRequest, ProcessRecord, RequestNumber,
    RequestRecord, SchedulingDelay,
};
use fault_harness::outcome::Outcome;
use fault_harness::process::ExitRequest;
use fault_harness::rules::{
    CLEAN_EXIT, HARD_CEILING, NO_REQUEST_TO_INELIGIBLE, NO_UNREQUESTED_EXIT, ONE_FINAL_ANSWER,
};
use fault_harness::stand_ins::{AttemptOutcome, ListedState};

/// Indexes in [`Settings::classes`].
const IDEMPOTENT: usize = 0;
const UNSAFE: usize = 2;
/// Indexes in [`Settings::tenants`].
const WITH_CEILING: usize = 2;
const UNLIMITED: usize = 5;

fn settings() -> Settings {
    Settings::draw(&mut fastrand::Rng::with_seed(1), 2)
}

fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn number(serial: u32) -> RequestNumber {
    RequestNumber::new(0, serial)
}

/// A request to gatekeeper 0 that is served within 20 ms.
fn request(serial: u32, sent: Moment) -> RequestRecord {
    RequestRecord {
        number: number(serial),
        class: IDEMPOTENT,
        tenant: UNLIMITED,
        units: 1.0,
        deadline: ms(400),
        sent,
        disconnected: None,
        ended: sent + ms(20),
        outcome: Outcome::Served,
        is_first_on_connection: false,
        was_resent: false,
    }
}

/// An attempt at backend 0 that is served within 5 ms.
fn attempt(serial: u32, arrived: Moment) -> AttemptRecord {
    AttemptRecord {
        request: number(serial),
        backend: 0,
        began: arrived,
        arrived,
        time_left: ms(100),
        ended: Some(arrived + ms(5)),
        outcome: AttemptOutcome::Served,
    }
}

fn process(at: Moment, event: ProcessEvent) -> ProcessRecord {
    ProcessRecord { at, gatekeeper: 0, process: 0, event }
}

fn exited(request: ExitRequest, exit_code: i32) -> ProcessEvent {
    ProcessEvent::Exited { exit_code, request }
}

fn list_change(at: Moment, backend: BackendIndex, state: ListedState) -> ListChange {
    ListChange { at, backend, state, has_just_started: false }
}

/// A history that keeps all rules: one process that serves, one request and its attempt.
fn valid_history() -> History {
    let processes = vec![
        process(ms(0), ProcessEvent::Started { clock_offset_us: 0 }),
        process(ms(50), ProcessEvent::Ready),
    ];
    History {
        processes,
        requests: vec![request(0, ms(1_000))],
        attempts: vec![attempt(0, ms(1_001))],
        ..History::default()
    }
}

/// The rules that a history breaks.
fn broken_rules(history: &History) -> Vec<&'static str> {
    check_all(history, &settings()).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_valid_history_breaks_no_rule() {
    assert_eq!(check_all(&valid_history(), &settings()), []);
}

#[test]
fn an_exit_must_be_requested_and_clean() {
    for (event, rules) in [
        (exited(ExitRequest::None, 0), vec![NO_UNREQUESTED_EXIT]),
        (exited(ExitRequest::ShutDown, 101), vec![CLEAN_EXIT]),
        (exited(ExitRequest::ShutDown, 0), vec![]),
        (exited(ExitRequest::Kill, -9), vec![]),
    ] {
        let mut history = valid_history();
        history.processes.push(process(ms(2_000), event.clone()));
        assert_eq!(broken_rules(&history), rules, "{event:?}");
    }
}

#[test]
fn a_process_serves_in_time_and_logs_neither_violations_nor_panics() {
    let line = || "a line".to_owned();
    for (event, rule) in [
        (ProcessEvent::Violation { line: line() }, "no invariant broken by its own account"),
        (ProcessEvent::Panicked { line: line() }, "no panic"),
    ] {
        let mut history = valid_history();
        history.processes.push(process(ms(2_000), event));
        assert_eq!(broken_rules(&history), [rule]);
    }
    let mut never_ready = valid_history();
    never_ready.processes.truncate(1);
    assert_eq!(broken_rules(&never_ready), ["ready in time"]);
}

#[test]
fn a_request_has_an_answer_in_time_unless_its_gatekeeper_was_killed() {
    let mut history = valid_history();
    history.requests[0].outcome = Outcome::Unanswered;
    history.requests[0].ended = ms(1_900);
    assert_eq!(broken_rules(&history), [ONE_FINAL_ANSWER]);
    // The harness itself may have recorded the end late.
    history.delays.push(SchedulingDelay { ended: ms(1_200), delay: ms(50) });
    assert_eq!(broken_rules(&history), [""; 0]);
    history.delays.clear();
    history.processes.push(process(ms(1_500), ProcessEvent::Killed));
    assert_eq!(broken_rules(&history), [""; 0]);
    let mut wrong = valid_history();
    wrong.requests[0].outcome = Outcome::Foreign;
    assert_eq!(broken_rules(&wrong), [ONE_FINAL_ANSWER]);
}

#[test]
fn an_incomplete_request_gets_an_error_or_a_close() {
    for (ended, is_broken) in [(Some(ms(2_500)), false), (Some(ms(4_500)), true), (None, true)] {
        let mut history = valid_history();
        history.partial_requests.push(PartialRequest { gatekeeper: 0, stopped: ms(1_000), ended });
        assert_eq!(broken_rules(&history).len(), usize::from(is_broken), "{ended:?}");
    }
}

#[test]
fn no_attempt_begins_for_a_client_that_has_disconnected() {
    for (disconnected, rules) in [(ms(950), vec![]), (ms(850), vec!["nothing for a client that has gone"])] {
        let mut history = valid_history();
        (history.requests[0].sent, history.requests[0].disconnected) = (ms(800), Some(disconnected));
        history.requests[0].outcome = Outcome::Left;
        assert_eq!(broken_rules(&history), rules, "{disconnected:?}");
    }
}

#[test]
fn an_attempt_states_no_later_deadline_than_its_request() {
    let mut history = valid_history();
    history.attempts[0].time_left = ms(560);
    assert_eq!(broken_rules(&history), ["the deadline passed on"]);
    history.attempts[0].time_left = ms(550);
    assert_eq!(broken_rules(&history), [""; 0]);
}

#[test]
fn an_unsafe_request_is_retried_only_if_it_never_ran() {
    let mut history = valid_history();
    history.requests[0].class = UNSAFE;
    history.attempts.push(attempt(0, ms(1_010)));
    assert_eq!(broken_rules(&history), ["an unsafe class is repeated only if it never ran"]);
    history.attempts[0].outcome = AttemptOutcome::Rejected;
    assert_eq!(broken_rules(&history), [""; 0]);
    history.attempts[0].ended = None;
    assert_eq!(broken_rules(&history), ["never two attempts out"]);
}

#[test]
fn a_request_has_no_more_attempts_than_the_settings_allow() {
    let mut history = valid_history();
    let more = 1..=u64::from(settings().max_attempts);
    history.attempts.extend(more.map(|retry| attempt(0, ms(1_001 + 10 * retry))));
    assert_eq!(broken_rules(&history), ["the number of attempts"]);
    history.attempts.pop();
    assert_eq!(broken_rules(&history), [""; 0]);
}

#[test]
fn no_attempt_begins_at_a_removed_backend_after_the_grace() {
    let mut history = valid_history();
    history.list_changes.push(list_change(ms(500), 0, ListedState::Removed));
    history.notifications.push(Notification { at: ms(510), gatekeeper: 0, changes: 1 });
    let bound = ms(510) + settings().drain_grace + MAX_SCHEDULING_DELAY + ms(55);
    for (late, rules) in [(ms(0), vec![]), (ms(1), vec![NO_REQUEST_TO_INELIGIBLE])] {
        history.requests[0].sent = bound;
        history.attempts = vec![attempt(0, bound + late)];
        assert_eq!(broken_rules(&history), rules, "{late:?}");
    }
}

#[test]
fn a_tenant_does_not_exceed_its_hard_ceiling() {
    let tenant = settings().tenants[WITH_CEILING].clone();
    let slack = tenant.ceiling_rate * 0.15;
    for (units, rules) in [
        (tenant.ceiling_burst + slack - 0.1, vec![]),
        (tenant.ceiling_burst + slack + 0.1, vec![HARD_CEILING]),
    ] {
        let mut history = valid_history();
        (history.requests[0].tenant, history.requests[0].units) = (WITH_CEILING, units);
        assert_eq!(broken_rules(&history), rules, "{units}");
    }
}
