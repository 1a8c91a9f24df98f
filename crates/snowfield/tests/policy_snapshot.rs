//! Compatibility of the policy's snapshot with version 0.1.0: later versions read that version's snapshot, continue from it, and
//! write the same bytes after the same events.

use policy::{
    Action, BackendEntry, BackendId, Event, Idempotency, ListKind, Micros, Outcome, Plan, Policy,
    PolicySnapshot, RequestClass, RequestId, Settings, TenantId, Timestamp,
};
use std::collections::HashMap;

/// The snapshot that version 0.1.0 hands over, encoded with postcard.
const FIXTURE: &[u8] = include_bytes!("fixtures/policy-snapshot.postcard");
const MS: Micros = 1_000;
const START: Timestamp = Timestamp::from_micros(1_700_000_000_000_000);
const SEED: u64 = 7;

fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        latency_objective: 400 * MS,
        deadline: 1_000 * MS,
        idempotency,
        idempotency_key_ttl: 500 * MS,
        ..RequestClass::default()
    };
    let ceiling =
        Plan { rate: 20.0, burst: 40.0, ceiling_rate: 25.0, ceiling_burst: 50.0, ..Plan::default() };
    Settings {
        gatekeepers: 3,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }, ceiling],
        max_attempts: 3,
        hedging: true,
        shared_counter: true,
        counter_timeout: 30 * MS,
        max_cost: 4.0,
        ..Settings::default()
    }
}

fn entries() -> Vec<BackendEntry> {
    let entry = |id| BackendEntry {
        id: BackendId(id),
        zone: (id % 2) as u8,
        machine_type: (id % 2) as u16,
        cell: (id / 2) as u16,
        ..BackendEntry::default()
    };
    (1..=5).map(entry).collect()
}

/// A policy that has received the endpoint list.
fn policy_with_endpoints(now: Timestamp) -> Policy {
    let mut policy = Policy::new(settings(), SEED, now).expect("the settings are valid");
    let event = Event::Endpoints { kind: ListKind::Full, entries: entries() };
    policy.handle(now, event, &mut Vec::new());
    policy
}

/// The outcome of a request's attempt at a backend, fixed by their ids.
fn outcome(request: RequestId, backend: BackendId) -> Outcome {
    match (request.0 + backend.0) % 11 {
        0 => Outcome::Error,
        1 => Outcome::Timeout,
        2 => Outcome::Rejected,
        3 => Outcome::ConnectFailed,
        _ => Outcome::Ok,
    }
}

/// Applies an event and the events that follow from its actions: ends of attempts, and replies of the counter.
fn apply_event(
    policy: &mut Policy,
    now: Timestamp,
    event: Event,
    attempts: &mut HashMap<RequestId, u8>,
    total: &mut f64,
) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        policy.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, backend, .. } => {
                    let next_attempt = attempts.entry(id).or_default();
                    let (attempt, outcome) = (*next_attempt, outcome(id, backend));
                    *next_attempt += 1;
                    let (answered, load) = (outcome == Outcome::Ok, Vec::new());
                    let elapsed = (20 + Micros::from(id.0 % 7) * 10) * MS;
                    events.push(Event::AttemptEnded {
                        id,
                        attempt,
                        backend,
                        outcome,
                        elapsed,
                        units: 0.0,
                        answered,
                        load,
                    });
                }
                Action::CounterAdd { name, units, .. } => {
                    *total += units;
                    events.push(Event::CounterReply {
                        name,
                        total: *total,
                        elapsed: MS,
                        outcome: Outcome::Ok,
                    });
                }
                _ => {}
            }
        }
    }
}

/// A policy after a fixed sequence of events, and the time of the last one.
fn policy_after_events() -> (Policy, Timestamp) {
    let mut policy = policy_with_endpoints(START);
    let (mut now, mut attempts, mut total) = (START, HashMap::new(), 0.0);
    for id in 0..400 {
        now += 13 * MS;
        let (class, plan) = ((id % 3) as u16, id % 2);
        let (tenant, units) = (100 + u64::from(id % 10), if id % 5 == 0 { 4.0 } else { 1.0 });
        let tenant_gatekeepers = if tenant > 107 { 1.0 } else { 3.0 };
        let (time_left, client_retry) = (1_000 * MS, id % 29 == 0);
        let event = Event::Request {
            id: RequestId(id),
            class,
            plan,
            tenant: TenantId(tenant),
            time_left,
            tenant_gatekeepers,
            units,
            client_retry,
        };
        apply_event(&mut policy, now, event, &mut attempts, &mut total);
        apply_event(&mut policy, now, Event::Timer { token: 0 }, &mut attempts, &mut total);
    }
    (policy, now)
}

fn decode(bytes: &[u8]) -> Result<PolicySnapshot, postcard::Error> {
    postcard::from_bytes(bytes)
}

fn encode(snapshot: &PolicySnapshot) -> Vec<u8> {
    postcard::to_stdvec(snapshot).expect("a snapshot can be encoded")
}

#[test]
fn reads_the_snapshot_of_version_0_1_0_and_writes_the_same_bytes() {
    let snapshot = decode(FIXTURE).expect("the fixture can be decoded");
    assert_eq!(encode(&snapshot), FIXTURE);
}

#[test]
fn writes_the_same_bytes_as_version_0_1_0_after_the_same_events() {
    let (mut policy, _) = policy_after_events();
    assert_eq!(encode(&policy.hand_over()), FIXTURE);
}

#[test]
fn renumbers_the_snapshot_of_version_0_1_0_and_continues_from_it() {
    let (_, now) = policy_after_events();
    let backends: HashMap<BackendId, BackendId> =
        (1..=5).map(|id| (BackendId(id), BackendId(6 - id))).collect();
    let plans = [Some(1), Some(0)];
    let classes = [Some(0), Some(1), Some(2)];
    let renumbered = decode(FIXTURE).expect("the fixture can be decoded").remap(&backends, &plans, &classes);
    assert_ne!(encode(&renumbered), FIXTURE);
    let mut successor = policy_with_endpoints(now);
    successor.take_over(now, decode(FIXTURE).expect("the fixture can be decoded"));
    assert_eq!(encode(&successor.hand_over()), SUCCESSOR);
    let mut renumbered_successor = policy_with_endpoints(now);
    renumbered_successor.take_over(now, renumbered);
    assert_eq!(encode(&renumbered_successor.hand_over()), RENUMBERED);
}

/// The snapshot of a successor right after it has taken over the fixture.
const SUCCESSOR: &[u8] = include_bytes!("fixtures/policy-snapshot-successor.postcard");
/// The snapshot of a successor right after it has taken over the fixture with renumbered backends and plans.
const RENUMBERED: &[u8] = include_bytes!("fixtures/policy-snapshot-renumbered.postcard");

#[test]
fn a_truncated_snapshot_of_version_0_1_0_is_an_error() {
    for length in 0..FIXTURE.len() {
        assert!(decode(&FIXTURE[..length]).is_err(), "truncated to {length} bytes");
    }
}

#[test]
fn a_damaged_snapshot_of_version_0_1_0_is_taken_over_without_a_panic() {
    let (_, now) = policy_after_events();
    for index in 0..FIXTURE.len() {
        let mut damaged = FIXTURE.to_vec();
        damaged[index] ^= 0xff;
        if let Ok(snapshot) = decode(&damaged) {
            let mut successor = policy_with_endpoints(now);
            successor.take_over(now, snapshot);
            apply_event(&mut successor, now, Event::Timer { token: 0 }, &mut HashMap::new(), &mut 0.0);
        }
    }
}
