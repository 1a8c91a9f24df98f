//! The table's own rules, at a clock that the tests set.

use super::*;
use crate::request::AttemptEnd;
use policy::{BackendEntry, ListKind, Plan, RequestClass, TenantId};
use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, channel};

const MS: Micros = 1000;
const START: Timestamp = Timestamp::from_micros(1_000_000_000);

type TestTable = RequestTable<&'static str, &'static str>;

/// A table with these backends, without the side effects of their list.
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
    table.note_endpoints(ListKind::Full, &entries);
    table.feed(START, Event::Endpoints { kind: ListKind::Full, entries });
    table.side_effects.clear();
    table
}

/// A request of a tenant that uses this gatekeeper alone, so that the counter is not called.
fn submit(table: &mut TestTable, now: Timestamp) -> (RequestId, Receiver<String>) {
    submit_through(table, now, 1.0)
}

fn submit_through(
    table: &mut TestTable,
    now: Timestamp,
    tenant_gatekeepers: f64,
) -> (RequestId, Receiver<String>) {
    let (tell, answered) = channel();
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
        let _ = tell.send(format!("{answer:?}"));
    };
    (table.submit(now, request, Box::new(reply)), answered)
}

/// Carries out effects as the exchange does and returns what the sides were requested for.
fn side_effects(table: &mut TestTable) -> Vec<String> {
    let mut requested = Vec::new();
    while let Some(effect) = table.side_effects.pop_front() {
        match effect {
            SideEffect::Start(attempt) => {
                requested.push(format!("start {} at {}", attempt.id.attempt, attempt.backend))
            }
            SideEffect::Cancel(attempt) => requested.push(format!("cancel {}", attempt.attempt)),
            SideEffect::Withdraw(attempt) => requested.push(format!("withdraw {}", attempt.attempt)),
            SideEffect::EndUnwritten(attempt) => {
                requested.push(format!("end unwritten {}", attempt.attempt));
            }
            SideEffect::Answer(reply, answer) => reply(answer),
            SideEffect::CallCounter(call) => requested.push(format!("call {} add {}", call.id, call.units)),
            SideEffect::Log(notice) => requested.push(notice.to_string()),
            SideEffect::LogClockOffset(offset) => requested.push(format!("clock ahead by {offset}")),
        }
    }
    requested
}

fn attempt(request: RequestId, attempt: u8) -> AttemptId {
    AttemptId { request, attempt }
}

fn served(answer: &'static str) -> AttemptEnd<&'static str> {
    AttemptEnd { answer: Some(answer), ..AttemptEnd::without_answer(Outcome::Ok) }
}

/// Runs the timers as the clock does, each at its time.
fn run_until(table: &mut TestTable, until: Timestamp) {
    while let Some(at) = table.timers.next().filter(|&at| at <= until) {
        table.run_due_timers(at);
    }
}

#[test]
fn a_request_gets_one_answer_and_leaves_the_table_with_its_last_attempt() {
    let mut table = table(&[5]);
    let (id, answered) = submit(&mut table, START);
    assert_eq!(side_effects(&mut table), ["start 0 at 5"]);
    table.attempt_ended(START + 50 * MS, attempt(id, 0), served("value"));
    table.attempt_ended(START + 51 * MS, attempt(id, 0), served("again"));
    assert!(side_effects(&mut table).is_empty());
    assert_eq!(answered.try_iter().collect::<Vec<_>>(), ["Served(\"value\")"]);
    assert!(table.requests.is_empty());
    assert_eq!((table.status.units_forwarded, &table.status.accounts), (1.0, &BTreeMap::from([(3, 1.0)])));
}

/// Guards the deadline: a destination that says nothing must not keep an operation from its answer.
#[test]
fn a_silent_backend_is_answered_for_before_the_deadline_and_its_attempt_cancelled_at_it() {
    let mut table = table(&[5]);
    let (_, answered) = submit(&mut table, START);
    assert_eq!(side_effects(&mut table), ["start 0 at 5"]);
    run_until(&mut table, START + 399 * MS);
    side_effects(&mut table);
    let answers: Vec<String> = answered.try_iter().collect();
    assert!(
        matches!(&answers[..], [one] if one.contains("Rejected") && one.contains("DeadlineExceeded")),
        "{answers:?}"
    );
    run_until(&mut table, START + 400 * MS);
    assert_eq!(side_effects(&mut table), ["cancel 0"]);
    assert!(table.requests.is_empty());
}

#[test]
fn a_client_that_disconnects_has_its_attempts_cancelled_and_gets_nothing() {
    let mut table = table(&[5]);
    let (id, answered) = submit(&mut table, START);
    side_effects(&mut table);
    table.client_gone(START + 10 * MS, id);
    table.client_gone(START + 11 * MS, id);
    assert_eq!(side_effects(&mut table), ["cancel 0"]);
    table.attempt_ended(START + 20 * MS, attempt(id, 0), served("late"));
    assert!(side_effects(&mut table).is_empty() && answered.try_recv().is_err() && table.requests.is_empty());
}

#[test]
fn an_attempt_that_never_ran_is_retried_elsewhere_and_units_are_counted_once() {
    let mut table = table(&[5, 6]);
    let (id, answered) = submit(&mut table, START);
    let first = side_effects(&mut table);
    table.attempt_ended(START + MS, attempt(id, 0), AttemptEnd::without_answer(Outcome::ConnectFailed));
    let second = side_effects(&mut table);
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].rsplit(' ').next(), second[0].rsplit(' ').next(), "another destination");
    table.attempt_ended(START + 2 * MS, attempt(id, 1), served("value"));
    side_effects(&mut table);
    assert_eq!(answered.try_iter().count(), 1);
    assert_eq!(table.status.units_forwarded, 1.0);
}

/// Guards the rule that nothing is sent on after the final answer: a copy whose connection was still being made once was.
#[test]
fn what_is_not_written_yet_is_withdrawn_before_the_final_answer() {
    let mut table = table(&[5, 6]);
    let (id, _answered) = submit(&mut table, START);
    table.feed(START + 240 * MS, Event::Timer { token: 2 << 56 | u64::from(id.0) });
    assert_eq!(side_effects(&mut table).len(), 2, "an attempt and its copy");
    table.attempt_ended(START + 250 * MS, attempt(id, 0), served("value"));
    let place = |wanted: fn(&SideEffect<_, _>) -> bool| {
        table.side_effects.iter().position(wanted).expect("it is there")
    };
    let withdrawn = place(|e| matches!(e, SideEffect::Withdraw(AttemptId { attempt: 1, .. })));
    assert!(withdrawn < place(|e| matches!(e, SideEffect::Answer(..))));
}

/// Guards the counter's late answers: a call that was given up must not be answered any more.
#[test]
fn an_answer_to_a_counter_call_that_timed_out_is_ignored() {
    let mut table = table(&[5]);
    let (_, answered) = submit_through(&mut table, START, 2.0);
    assert_eq!(side_effects(&mut table), ["call 0 add 1"], "a new customer waits for its total");
    run_until(&mut table, START + 30 * MS);
    assert!(
        side_effects(&mut table).contains(&"start 0 at 5".to_owned()),
        "the wait is over and its own part holds it"
    );
    let before = format!("{:?}", table.policy);
    table.counter_call_ended(START + 31 * MS, 0, Outcome::Ok, 1e6);
    assert_eq!(format!("{:?}", table.policy), before, "the module heard of it once");
    assert!(side_effects(&mut table).is_empty() && answered.try_recv().is_err());
}

#[test]
fn reasons_of_failure_are_told_apart() {
    let mut empty = table(&[]);
    let (_, answered) = submit(&mut empty, START);
    side_effects(&mut empty);
    assert!(answered.try_recv().unwrap().contains("NoBackend"));

    let mut failing = table(&[5]);
    let (id, answered) = submit(&mut failing, START);
    side_effects(&mut failing);
    failing.attempt_ended(START + MS, attempt(id, 0), AttemptEnd::without_answer(Outcome::Reset));
    side_effects(&mut failing);
    assert!(answered.try_recv().unwrap().contains("BackendFailed"));

    let mut busy = table(&[5]);
    for _ in 0..200 {
        submit(&mut busy, START);
    }
    let (_, answered) = submit(&mut busy, START);
    side_effects(&mut busy);
    assert!(answered.try_recv().unwrap().contains("NoCapacity"));
}

/// Guards against a service that has nobody being answered as busy, since another one has places.
#[test]
fn a_service_without_backends_is_told_apart_from_a_full_one() {
    let class = RequestClass { latency_objective: 600 * MS, deadline: 2500 * MS, ..RequestClass::default() };
    let settings = Settings {
        classes: vec![class.clone(), RequestClass { service: 1, ..class }],
        plans: vec![Plan { rate: 100.0, burst: 100.0, ..Plan::default() }],
        ..Settings::default()
    };
    let mut table: TestTable = RequestTable::new(settings, 1, START).unwrap();
    let entries = vec![BackendEntry { id: BackendId(1), service: 1, ..BackendEntry::default() }];
    table.note_endpoints(ListKind::Full, &entries);
    table.feed(START, Event::Endpoints { kind: ListKind::Full, entries });
    let (_, answered) = submit(&mut table, START);
    side_effects(&mut table);
    assert!(answered.try_iter().any(|answer| answer.contains("NoBackend")));
}
