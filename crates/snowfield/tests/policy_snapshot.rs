//! What the policy knows, as version 0.1.0 gave it to its successor: later versions read it, go on from it, and write the same
//! bytes after the same events.

use dewproxy::Gateway;
use dewproxy::interface::{
    Action, BackendEntry, Class, Effect, Event, ListKind, Micros, Outcome, Plan, Settings,
};
use exchange::Carried;
use std::collections::HashMap;

/// In postcard's form.
const FIXTURE: &[u8] = include_bytes!("fixtures/policy-snapshot.postcard");
const MS: Micros = 1_000;
const START: Micros = 1_700_000_000_000_000;
const SEED: u64 = 7;

fn settings() -> Settings {
    let class =
        |effect| Class { aim: 400 * MS, deadline: 1_000 * MS, effect, key_ttl: 500 * MS, ..Class::default() };
    let ceiling =
        Plan { rate: 20.0, burst: 40.0, ceiling_rate: 25.0, ceiling_burst: 50.0, ..Plan::default() };
    Settings {
        gateways: 3,
        classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Unsafe)],
        plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }, ceiling],
        max_attempts: 3,
        second_copies: true,
        counter: true,
        counter_wait: 30 * MS,
        largest: 4.0,
        ..Settings::default()
    }
}

fn entries() -> Vec<BackendEntry> {
    let entry = |id| BackendEntry {
        id,
        zone: (id % 2) as u8,
        kind: (id % 2) as u16,
        cell: (id / 2) as u16,
        ..BackendEntry::default()
    };
    (1..=5).map(entry).collect()
}

/// A gateway that knows the list.
fn gateway(now: Micros) -> Gateway {
    let mut gateway = Gateway::new(settings(), SEED, now).expect("the settings can be used");
    let event = Event::Backends { kind: ListKind::Full, entries: entries() };
    gateway.handle(now, event, &mut Vec::new());
    gateway
}

/// The outcome of the attempt that this request makes at this backend.
fn outcome(request: u32, backend: u32) -> Outcome {
    match (request + backend) % 11 {
        0 => Outcome::Error,
        1 => Outcome::Timeout,
        2 => Outcome::Full,
        3 => Outcome::ConnectFailed,
        _ => Outcome::Ok,
    }
}

/// Feeds an event and what follows from it at once: attempts end, and the counter answers.
fn feed(gateway: &mut Gateway, now: Micros, event: Event, attempts: &mut HashMap<u32, u8>, total: &mut f64) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        gateway.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, backend, .. } => {
                    let next = attempts.entry(id).or_default();
                    let (attempt, outcome) = (*next, outcome(id, backend));
                    *next += 1;
                    let (settled, load) = (outcome == Outcome::Ok, Vec::new());
                    let elapsed = (20 + Micros::from(id % 7) * 10) * MS;
                    events.push(Event::Ended {
                        id,
                        attempt,
                        backend,
                        outcome,
                        elapsed,
                        units: 0.0,
                        settled,
                        load,
                    });
                }
                Action::Count { name, add, .. } => {
                    *total += add;
                    events.push(Event::Counted { name, total: *total, elapsed: MS, outcome: Outcome::Ok });
                }
                _ => {}
            }
        }
    }
}

/// A gateway after the same course of events each time, and the time then.
fn course() -> (Gateway, Micros) {
    let mut gateway = gateway(START);
    let (mut now, mut attempts, mut total) = (START, HashMap::new(), 0.0);
    for id in 0..400 {
        now += 13 * MS;
        let (class, plan) = ((id % 3) as u16, id % 2);
        let (customer, units) = (100 + u64::from(id % 10), if id % 5 == 0 { 4.0 } else { 1.0 });
        let set_size = if customer > 107 { 1.0 } else { 3.0 };
        let (time_left, repeat) = (1_000 * MS, id % 29 == 0);
        let event = Event::Request { id, class, plan, customer, time_left, set_size, units, repeat };
        feed(&mut gateway, now, event, &mut attempts, &mut total);
        feed(&mut gateway, now, Event::Timer { token: 0 }, &mut attempts, &mut total);
    }
    (gateway, now)
}

fn decode(bytes: &[u8]) -> Result<Carried, postcard::Error> {
    postcard::from_bytes(bytes)
}

fn encode(snapshot: &Carried) -> Vec<u8> {
    postcard::to_stdvec(snapshot).expect("a snapshot has a form")
}

#[test]
fn reads_the_snapshot_of_version_0_1_0_and_writes_the_same_bytes() {
    let snapshot = decode(FIXTURE).expect("it can be read");
    assert_eq!(encode(&snapshot), FIXTURE);
}

#[test]
fn writes_the_same_bytes_as_version_0_1_0_after_the_same_events() {
    let (mut gateway, _) = course();
    assert_eq!(encode(&gateway.hand_over()), FIXTURE);
}

#[test]
fn renumbers_the_snapshot_of_version_0_1_0_and_goes_on_from_it() {
    let (_, now) = course();
    let backends: HashMap<u32, u32> = (1..=5).map(|id| (id, 6 - id)).collect();
    let plans = [Some(1), Some(0)];
    let classes = [Some(0), Some(1), Some(2)];
    let renumbered = decode(FIXTURE).expect("it can be read").renumbered(&backends, &plans, &classes);
    assert_ne!(encode(&renumbered), FIXTURE);
    let mut successor = gateway(now);
    successor.take_over(decode(FIXTURE).expect("it can be read"));
    assert_eq!(encode(&successor.hand_over()), SUCCESSOR);
    let mut other = gateway(now);
    other.take_over(renumbered);
    assert_eq!(encode(&other.hand_over()), OTHER);
}

/// What a successor gives away that has taken over the fixture just then.
const SUCCESSOR: &[u8] = include_bytes!("fixtures/policy-snapshot-successor.postcard");
/// The same with backends and plans of other numbers.
const OTHER: &[u8] = include_bytes!("fixtures/policy-snapshot-renumbered.postcard");

#[test]
fn a_truncated_snapshot_of_version_0_1_0_is_an_error() {
    for length in 0..FIXTURE.len() {
        assert!(decode(&FIXTURE[..length]).is_err(), "truncated to {length} bytes");
    }
}

#[test]
fn a_damaged_snapshot_of_version_0_1_0_is_taken_over_without_a_panic() {
    let (_, now) = course();
    for at in 0..FIXTURE.len() {
        let mut damaged = FIXTURE.to_vec();
        damaged[at] ^= 0xff;
        if let Ok(snapshot) = decode(&damaged) {
            let mut successor = gateway(now);
            successor.take_over(snapshot);
            feed(&mut successor, now, Event::Timer { token: 0 }, &mut HashMap::new(), &mut 0.0);
        }
    }
}
