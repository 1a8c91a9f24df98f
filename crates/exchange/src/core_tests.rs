//! The table's own rules, at a clock that the tests set.

use super::*;
use policy::interface::{Class, Plan};
use std::sync::mpsc::{Receiver, channel};

const MS: Micros = 1000;
const START: Micros = 1_000_000_000;

type TestCore = Core<&'static str, &'static str>;

/// A core with these destinations, and no effect of that left.
fn core(destinations: &[u32]) -> TestCore {
    let settings = Settings {
        classes: vec![Class { aim: 600 * MS, deadline: 2500 * MS, ..Class::default() }],
        plans: vec![Plan { rate: 100.0, burst: 100.0, ..Plan::default() }],
        gateways: 2,
        second_copies: true,
        counter: true,
        counter_wait: 30 * MS,
        ..Settings::default()
    };
    let mut core = Core::new(settings, 1, START).unwrap();
    let entries: Vec<_> =
        destinations.iter().map(|&id| BackendEntry { id, ..BackendEntry::default() }).collect();
    core.note_list(ListKind::Full, &entries);
    core.feed(START, Event::Backends { kind: ListKind::Full, entries });
    core.effects.clear();
    core
}

/// An operation of a customer who comes through this gatekeeper alone, so that no counter is asked.
fn submit(core: &mut TestCore, now: Micros) -> (OperationId, Receiver<String>) {
    submit_through(core, now, 1.0)
}

fn submit_through(core: &mut TestCore, now: Micros, set_size: f64) -> (OperationId, Receiver<String>) {
    let (tell, told) = channel();
    let operation = Operation {
        class: 0,
        plan: 0,
        customer: 7,
        time_left: 400 * MS,
        set_size,
        units: 1.0,
        repeat: false,
        account: Some(3),
        query: "query",
    };
    let reply = move |answer: FinalAnswer<&'static str>| {
        let _ = tell.send(format!("{answer:?}"));
    };
    (core.submit(now, operation, Box::new(reply)), told)
}

/// Carries out effects as the exchange does and returns what the sides were asked for.
fn effects(core: &mut TestCore) -> Vec<String> {
    let mut asked = Vec::new();
    while let Some(effect) = core.effects.pop_front() {
        match effect {
            Effect::Start(attempt) => {
                asked.push(format!("start {} at {}", attempt.id.attempt, attempt.destination))
            }
            Effect::GiveUp(attempt) => asked.push(format!("give up {}", attempt.attempt)),
            Effect::Withdraw(attempt) => asked.push(format!("withdraw {}", attempt.attempt)),
            Effect::Answer(reply, answer) => reply(answer),
            Effect::Call(call) => asked.push(format!("call {} add {}", call.id, call.add)),
            Effect::Log(text) => asked.push(text),
        }
    }
    asked
}

fn attempt(operation: OperationId, attempt: u8) -> AttemptId {
    AttemptId { operation, attempt }
}

fn served(answer: &'static str) -> AttemptEnd<&'static str> {
    AttemptEnd { answer: Some(answer), ..AttemptEnd::plain(Outcome::Ok) }
}

/// Runs the timers as the clock does, each at its time.
fn run_until(core: &mut TestCore, until: Micros) {
    while let Some(at) = core.timers.next().filter(|&at| at <= until) {
        core.run_due(at);
    }
}

#[test]
fn an_operation_gets_one_answer_and_leaves_the_table_with_its_last_step() {
    let mut core = core(&[5]);
    let (id, told) = submit(&mut core, START);
    assert_eq!(effects(&mut core), ["start 0 at 5"]);
    core.attempt_ended(START + 50 * MS, attempt(id, 0), served("value"));
    core.attempt_ended(START + 51 * MS, attempt(id, 0), served("again"));
    assert!(effects(&mut core).is_empty());
    assert_eq!(told.try_iter().collect::<Vec<_>>(), ["Served(\"value\")"]);
    assert!(core.operations.is_empty());
    assert_eq!((core.status.units_sent, &core.status.accounts), (1.0, &BTreeMap::from([(3, 1.0)])));
}

/// Guards the deadline: a destination that says nothing must not keep an operation from its answer.
#[test]
fn silence_is_answered_before_the_deadline_and_the_step_given_up_at_it() {
    let mut core = core(&[5]);
    let (_, told) = submit(&mut core, START);
    assert_eq!(effects(&mut core), ["start 0 at 5"]);
    run_until(&mut core, START + 399 * MS);
    effects(&mut core);
    let answers: Vec<String> = told.try_iter().collect();
    assert!(matches!(&answers[..], [one] if one.contains("Busy") && one.contains("Deadline")), "{answers:?}");
    run_until(&mut core, START + 400 * MS);
    assert_eq!(effects(&mut core), ["give up 0"]);
    assert!(core.operations.is_empty());
}

#[test]
fn a_client_that_leaves_has_its_steps_given_up_and_hears_nothing() {
    let mut core = core(&[5]);
    let (id, told) = submit(&mut core, START);
    effects(&mut core);
    core.left(START + 10 * MS, id);
    core.left(START + 11 * MS, id);
    assert_eq!(effects(&mut core), ["give up 0"]);
    core.attempt_ended(START + 20 * MS, attempt(id, 0), served("late"));
    assert!(effects(&mut core).is_empty() && told.try_recv().is_err() && core.operations.is_empty());
}

#[test]
fn a_step_that_never_ran_is_tried_elsewhere_and_units_are_booked_once() {
    let mut core = core(&[5, 6]);
    let (id, told) = submit(&mut core, START);
    let first = effects(&mut core);
    core.attempt_ended(START + MS, attempt(id, 0), AttemptEnd::plain(Outcome::ConnectFailed));
    let second = effects(&mut core);
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].rsplit(' ').next(), second[0].rsplit(' ').next(), "another destination");
    core.attempt_ended(START + 2 * MS, attempt(id, 1), served("value"));
    effects(&mut core);
    assert_eq!(told.try_iter().count(), 1);
    assert_eq!(core.status.units_sent, 1.0);
}

/// Guards the rule that nothing is sent on after the final answer: a copy whose connection was still being made once was.
#[test]
fn what_is_not_written_yet_is_withdrawn_before_the_final_answer() {
    let mut core = core(&[5, 6]);
    let (id, _told) = submit(&mut core, START);
    core.feed(START + 240 * MS, Event::Timer { token: 2 << 56 | u64::from(id) });
    assert_eq!(effects(&mut core).len(), 2, "an attempt and its copy");
    core.attempt_ended(START + 250 * MS, attempt(id, 0), served("value"));
    let place =
        |wanted: fn(&Effect<_, _>) -> bool| core.effects.iter().position(wanted).expect("it is there");
    let withdrawn = place(|e| matches!(e, Effect::Withdraw(AttemptId { attempt: 1, .. })));
    assert!(withdrawn < place(|e| matches!(e, Effect::Answer(..))));
}

/// Guards the counter's late answers: a call that was given up must not be answered any more.
#[test]
fn an_answer_to_a_counter_call_that_was_given_up_is_passed_over() {
    let mut core = core(&[5]);
    let (_, told) = submit_through(&mut core, START, 2.0);
    assert_eq!(effects(&mut core), ["call 0 add 1"], "a new customer waits for its total");
    run_until(&mut core, START + 30 * MS);
    assert!(
        effects(&mut core).contains(&"start 0 at 5".to_owned()),
        "the wait is over and its own part holds it"
    );
    let before = format!("{:?}", core.gateway);
    core.call_ended(START + 31 * MS, 0, Outcome::Ok, 1e6);
    assert_eq!(format!("{:?}", core.gateway), before, "the module heard of it once");
    assert!(effects(&mut core).is_empty() && told.try_recv().is_err());
}

#[test]
fn why_nothing_was_served_is_told_apart() {
    let mut empty = core(&[]);
    let (_, told) = submit(&mut empty, START);
    effects(&mut empty);
    assert!(told.try_recv().unwrap().contains("NoDestination"));

    let mut failing = core(&[5]);
    let (id, told) = submit(&mut failing, START);
    effects(&mut failing);
    failing.attempt_ended(START + MS, attempt(id, 0), AttemptEnd::plain(Outcome::Reset));
    effects(&mut failing);
    assert!(told.try_recv().unwrap().contains("DestinationFailed"));

    let mut busy = core(&[5]);
    for _ in 0..200 {
        submit(&mut busy, START);
    }
    let (_, told) = submit(&mut busy, START);
    effects(&mut busy);
    assert!(told.try_recv().unwrap().contains("NoRoom"));
}

/// Guards against a service that has nobody being told as busy, since another one has places.
#[test]
fn a_service_that_nobody_serves_is_told_apart_from_a_full_one() {
    let class = Class { aim: 600 * MS, deadline: 2500 * MS, ..Class::default() };
    let settings = Settings {
        classes: vec![class.clone(), Class { service: 1, ..class }],
        plans: vec![Plan { rate: 100.0, burst: 100.0, ..Plan::default() }],
        ..Settings::default()
    };
    let mut core: TestCore = Core::new(settings, 1, START).unwrap();
    let entries = vec![BackendEntry { id: 1, service: 1, ..BackendEntry::default() }];
    core.note_list(ListKind::Full, &entries);
    core.feed(START, Event::Backends { kind: ListKind::Full, entries });
    let (_, told) = submit(&mut core, START);
    effects(&mut core);
    assert!(told.try_iter().any(|answer| answer.contains("NoDestination")));
}
