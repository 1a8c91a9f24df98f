//! The request table with its parts. The tests pass in the time and perform the side effects.

use super::*;
use crate::request::{AttemptEnd, FinalAnswer};
use policy::{BackendId, Micros, Plan, TenantId};
use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const MS: Micros = 1000;
const START: Timestamp = Timestamp::from_micros(1_000_000_000);

type TestTable = RequestTable<&'static str, &'static str>;

/// A table with these backends, whose side effects have been discarded.
fn table(backends: &[u32]) -> TestTable {
    let settings = Settings {
        classes: vec![RequestClass {
            latency_objective: 600 * MS,
            deadline: 2500 * MS,
            ..RequestClass::default()
        }],
        plans: vec![Plan { rate: 100.0, burst: 100.0, ..Plan::default() }],
        gatekeepers: 2,
        hedging: true,
        shared_counter: true,
        counter_timeout: 30 * MS,
        ..Settings::default()
    };
    let mut table = RequestTable::new(settings, 1, START).unwrap();
    let entries: Vec<_> =
        backends.iter().map(|&id| BackendEntry { id: BackendId(id), ..BackendEntry::default() }).collect();
    table.update_endpoints(START, ListKind::Full, entries);
    while table.side_effects.next().is_some() {}
    table
}

/// Submits a request of a tenant that uses only this gatekeeper, so that the counter is not called.
fn submit(table: &mut TestTable, now: Timestamp) -> (RequestId, Receiver<String>) {
    submit_through(table, now, 1.0)
}

fn submit_through(
    table: &mut TestTable,
    now: Timestamp,
    tenant_gatekeepers: f64,
) -> (RequestId, Receiver<String>) {
    let (sender, answers) = channel();
    let request = Request {
        class: 0,
        plan: 0,
        tenant: TenantId(7),
        time_left: 400 * MS,
        tenant_gatekeepers,
        units: 1.0,
        client_retry: false,
        account: Some(3),
        payload: "payload",
    };
    let reply = move |answer: FinalAnswer<&'static str>| {
        let _ = sender.send(format!("{answer:?}"));
    };
    (table.submit(now, request, Box::new(reply)), answers)
}

/// Performs the side effects in order, as the exchange does. Gives answers to their requests, and returns a line for each other
/// side effect.
fn perform_side_effects(table: &mut TestTable) -> Vec<String> {
    let mut performed = Vec::new();
    while let Some(effect) = table.side_effects.next() {
        match effect {
            SideEffect::Start(attempt) => {
                performed.push(format!("start {} at {}", attempt.id.attempt, attempt.backend))
            }
            SideEffect::Cancel(attempt) => performed.push(format!("cancel {}", attempt.attempt)),
            SideEffect::Withdraw(attempt) => performed.push(format!("withdraw {}", attempt.attempt)),
            SideEffect::EndUnwritten(attempt) => {
                performed.push(format!("end unwritten {}", attempt.attempt));
            }
            SideEffect::Answer(reply, answer) => reply(answer),
            SideEffect::CallCounter(call) => performed.push(format!("call {} add {}", call.id, call.units)),
            SideEffect::Log(notice) => performed.push(notice.to_string()),
            SideEffect::LogClockOffset(offset) => {
                performed.push(format!("clock offset {}", offset.as_micros()))
            }
        }
    }
    performed
}

fn attempt(request: RequestId, attempt: u8) -> AttemptId {
    AttemptId { request, attempt }
}

fn served(answer: &'static str) -> AttemptEnd<&'static str> {
    AttemptEnd { answer: Some(answer), ..AttemptEnd::without_answer(Outcome::Ok) }
}

/// Runs all timers that expire up to `until`, each at its time.
fn run_until(table: &mut TestTable, until: Timestamp) {
    while let Some(expires_at) = table.timers.next_expiry().filter(|&expires_at| expires_at <= until) {
        table.run_due_timers(expires_at);
    }
}

#[test]
fn a_request_gets_one_answer_and_is_removed_when_its_last_attempt_ends() {
    let mut table = table(&[5]);
    let (id, answers) = submit(&mut table, START);
    assert_eq!(perform_side_effects(&mut table), ["start 0 at 5"]);
    table.attempt_ended(START + 50 * MS, attempt(id, 0), served("value"));
    table.attempt_ended(START + 51 * MS, attempt(id, 0), served("again"));
    assert!(perform_side_effects(&mut table).is_empty());
    assert_eq!(answers.try_iter().collect::<Vec<_>>(), ["Served(\"value\")"]);
    assert!(table.requests.is_empty());
    let status = table.status();
    assert_eq!((status.units_forwarded, status.accounts), (1.0, BTreeMap::from([(3, 1.0)])));
}

/// Guards against requests without an answer: a request whose backend does not answer must get its final answer in time.
#[test]
fn a_request_at_a_silent_backend_is_answered_before_its_deadline_cancels_its_attempt() {
    let mut table = table(&[5]);
    let (_, answers) = submit(&mut table, START);
    assert_eq!(perform_side_effects(&mut table), ["start 0 at 5"]);
    run_until(&mut table, START + 399 * MS);
    perform_side_effects(&mut table);
    let answers: Vec<String> = answers.try_iter().collect();
    assert!(
        matches!(&answers[..], [one] if one.contains("Rejected") && one.contains("DeadlineExceeded")),
        "{answers:?}"
    );
    run_until(&mut table, START + 400 * MS);
    assert_eq!(perform_side_effects(&mut table), ["cancel 0"]);
    assert!(table.requests.is_empty());
}

#[test]
fn the_attempts_of_a_disconnected_client_are_cancelled_and_it_gets_no_answer() {
    let mut table = table(&[5]);
    let (id, answers) = submit(&mut table, START);
    perform_side_effects(&mut table);
    table.client_gone(START + 10 * MS, id);
    table.client_gone(START + 11 * MS, id);
    assert_eq!(perform_side_effects(&mut table), ["cancel 0"]);
    table.attempt_ended(START + 20 * MS, attempt(id, 0), served("late"));
    assert!(
        perform_side_effects(&mut table).is_empty()
            && answers.try_recv().is_err()
            && table.requests.is_empty()
    );
}

#[test]
fn an_attempt_that_never_ran_is_retried_at_another_backend_and_units_are_counted_once() {
    let mut table = table(&[5, 6]);
    let (id, answers) = submit(&mut table, START);
    let first = perform_side_effects(&mut table);
    table.attempt_ended(START + MS, attempt(id, 0), AttemptEnd::without_answer(Outcome::ConnectFailed));
    let second = perform_side_effects(&mut table);
    assert_eq!(second.len(), 1);
    assert_ne!(
        first[0].rsplit(' ').next(),
        second[0].rsplit(' ').next(),
        "the retry goes to another backend"
    );
    table.attempt_ended(START + 2 * MS, attempt(id, 1), served("value"));
    perform_side_effects(&mut table);
    assert_eq!(answers.try_iter().count(), 1);
    assert_eq!(table.status().units_forwarded, 1.0);
}

/// Guards against forwarding a request after its final answer, which happened with a hedged attempt whose connection was still
/// being established.
#[test]
fn an_attempt_that_is_not_written_is_cancelled_before_the_final_answer() {
    let mut table = table(&[5, 6]);
    let (id, _answers) = submit(&mut table, START);
    // The policy's hedge timer for attempt 0 of the request expires.
    table.feed(START + 240 * MS, Event::Timer { token: 2 << 56 | u64::from(id.0) });
    assert_eq!(perform_side_effects(&mut table).len(), 2, "the first attempt and a hedged one");
    table.attempt_ended(START + 250 * MS, attempt(id, 0), served("value"));
    let position = |is_wanted: fn(&SideEffect<_, _>) -> bool| {
        table.side_effects.queued().position(is_wanted).expect("the side effect is queued")
    };
    let withdrawal = position(|effect| matches!(effect, SideEffect::Withdraw(AttemptId { attempt: 1, .. })));
    assert!(withdrawal < position(|effect| matches!(effect, SideEffect::Answer(..))));
}

/// Guards against late counter replies: the end of a call that timed out must not reach the policy a second time.
#[test]
fn a_reply_to_a_counter_call_that_timed_out_is_ignored() {
    let mut table = table(&[5]);
    let (_, answers) = submit_through(&mut table, START, 2.0);
    assert_eq!(
        perform_side_effects(&mut table),
        ["call 0 add 1"],
        "the request of a new tenant waits for the total of its count"
    );
    run_until(&mut table, START + 30 * MS);
    assert!(
        perform_side_effects(&mut table).contains(&"start 0 at 5".to_owned()),
        "after the timeout the local share of the quota applies"
    );
    let before = format!("{:?}", table.policy);
    table.counter_call_ended(START + 31 * MS, 0, Outcome::Ok, 1e6);
    assert_eq!(format!("{:?}", table.policy), before, "the late reply does not reach the policy");
    assert!(perform_side_effects(&mut table).is_empty() && answers.try_recv().is_err());
}

#[test]
fn a_rejection_or_failure_states_its_reason() {
    let mut empty = table(&[]);
    let (_, answers) = submit(&mut empty, START);
    perform_side_effects(&mut empty);
    assert!(answers.try_recv().unwrap().contains("NoBackend"));

    let mut failing = table(&[5]);
    let (id, answers) = submit(&mut failing, START);
    perform_side_effects(&mut failing);
    failing.attempt_ended(START + MS, attempt(id, 0), AttemptEnd::without_answer(Outcome::Reset));
    perform_side_effects(&mut failing);
    assert!(answers.try_recv().unwrap().contains("BackendFailed"));

    let mut busy = table(&[5]);
    for _ in 0..200 {
        submit(&mut busy, START);
    }
    let (_, answers) = submit(&mut busy, START);
    perform_side_effects(&mut busy);
    assert!(answers.try_recv().unwrap().contains("NoCapacity"));
}

/// Guards against a wrong reason: a request of a service without backends was rejected for lack of capacity if another service
/// had backends.
#[test]
fn a_request_of_a_service_without_backends_fails_for_lack_of_backends() {
    let class = RequestClass { latency_objective: 600 * MS, deadline: 2500 * MS, ..RequestClass::default() };
    let settings = Settings {
        classes: vec![class.clone(), RequestClass { service: 1, ..class }],
        plans: vec![Plan { rate: 100.0, burst: 100.0, ..Plan::default() }],
        ..Settings::default()
    };
    let mut table: TestTable = RequestTable::new(settings, 1, START).unwrap();
    let entries = vec![BackendEntry { id: BackendId(1), service: 1, ..BackendEntry::default() }];
    table.update_endpoints(START, ListKind::Full, entries);
    let (_, answers) = submit(&mut table, START);
    perform_side_effects(&mut table);
    assert!(answers.try_iter().any(|answer| answer.contains("NoBackend")));
}

/// Regression: a value whose request came late in a shutdown was streamed until SIGKILL cut it off.
#[test]
fn a_request_that_comes_too_late_in_a_shutdown_for_a_streamed_answer_fails() {
    let mut table = table(&[1]);
    let bounds = ShutdownBounds {
        answers_within: Duration::from_millis(3_050),
        streams_submitted_within: Duration::from_millis(550),
    };
    table.start_shutdown(START, bounds);
    let streamed = || AttemptEnd { is_streaming: true, ..served("a large value") };
    let mut answer_of_request_at = |submitted_at| {
        let (id, answers) = submit(&mut table, submitted_at);
        table.attempt_ended(submitted_at + MS, attempt(id, 0), streamed());
        perform_side_effects(&mut table);
        (answers.try_recv().expect("a final answer"), table.open_streams(), table.refused_streams())
    };
    let (early, open, refused) = answer_of_request_at(START + 550 * MS);
    assert_eq!((early.as_str(), open, refused), (r#"Served("a large value")"#, 1, 0));
    let (late, open, refused) = answer_of_request_at(START + 551 * MS);
    assert_eq!((late.as_str(), open, refused), ("Failed(DeadlineExceeded)", 1, 1));
}
