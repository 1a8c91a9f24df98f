//! Seeded random event streams on several gatekeepers: rules 1 to 3 and 5 hold whatever comes.

#![allow(clippy::too_many_lines, clippy::unwrap_used)]

mod common;
use common::*;
use policy::*;
use std::collections::BTreeMap;

const CEILING: (f64, f64) = (30.0, 60.0);

struct Attempt {
    backend: u32,
    sent: Micros,
    ended: Option<Outcome>,
}

struct OpenRequest {
    class: u16,
    tenant: u64,
    units: f64,
    deadline: Micros,
    attempts: Vec<Attempt>,
    done: bool,
}

/// One gatekeeper with what a judge knows of it.
struct Observed {
    harness: Harness,
    held: BTreeMap<u32, OpenRequest>,
    timers: Vec<(Micros, u64)>,
    calls: Vec<(u64, f64)>,
    not_ready: BTreeMap<u32, bool>,
}

impl Observed {
    fn new(me: u32, now: Micros) -> Self {
        let plan = Plan { ceiling_rate: CEILING.0, ceiling_burst: CEILING.1, ..settings().plans[0].clone() };
        let settings = Settings {
            gatekeepers: 3,
            gatekeeper_index: me,
            plans: vec![plan],
            slow_start_duration: SECOND,
            ..settings()
        };
        let harness = Harness::start(settings, &[], now);
        let mut observed = Self {
            harness,
            held: BTreeMap::new(),
            timers: vec![(now, 0)],
            calls: vec![],
            not_ready: BTreeMap::new(),
        };
        let entries = backends(6);
        observed.take(Event::Endpoints { kind: ListKind::Cached, entries }, &mut BTreeMap::new());
        observed
    }

    /// Feeds an event and judges each action by the rules; returns the log of actions.
    fn take(&mut self, event: Event, buckets: &mut BTreeMap<u64, f64>) -> Vec<Action> {
        let now = self.harness.now;
        let actions = self.harness.feed(event);
        for action in &actions {
            match action {
                Action::Send { id, backend, .. } => {
                    let h = self.held.get_mut(&id.0).expect("sends only what it was given");
                    assert!(!h.done, "rule 1: sent after the end");
                    assert!(
                        !self.not_ready.get(&backend.0).copied().unwrap_or(false),
                        "rule 3: sent to a drained one"
                    );
                    for a in h.attempts.iter().filter(|a| a.ended.is_none_or(|o| !o.never_ran())) {
                        assert_ne!(h.class, 2, "rule 2: non-idempotent sent twice");
                        if h.class == 1 {
                            assert_eq!(
                                (a.backend - 1) / 2,
                                (backend.0 - 1) / 2,
                                "rule 2: keyed left its cell"
                            );
                            assert!(now <= a.sent + 500 * MS, "rule 2: keyed after its window");
                        }
                    }
                    if h.attempts.is_empty() {
                        let bucket = buckets.entry(h.tenant).or_insert(CEILING.1);
                        *bucket -= h.units;
                        assert!(*bucket >= 0.0, "rule 5: over the ceiling");
                    }
                    h.attempts.push(Attempt { backend: backend.0, sent: now, ended: None });
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    let h = self.held.get_mut(&id.0).expect("answers only what it was given");
                    assert!(!h.done, "rule 1: answered twice");
                    h.done = true;
                    let ran = h.attempts.iter().any(|a| a.ended.is_none_or(|o| !o.never_ran()));
                    let refusal = matches!(action, Action::Reject { .. });
                    assert!(!(refusal && ran && h.class != 0), "rule 2: rejected what may have run");
                }
                Action::Timer { after, token } => self.timers.push((now + after, *token)),
                Action::CounterAdd { name, units: add, .. } => self.calls.push((*name, *add)),
                _ => {}
            }
        }
        actions
    }
}

fn run(seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut gatekeepers: Vec<Observed> = (0..3).map(|me| Observed::new(me, 1)).collect();
    let mut counts: BTreeMap<u64, f64> = BTreeMap::new();
    let mut buckets: BTreeMap<u64, f64> = BTreeMap::new();
    let mut log = Vec::new();
    let (mut now, mut next_id, mut answered) = (1, 0, 0);
    for _ in 0..6_000 {
        let step = rng.u64(0..4) * MS;
        now += step;
        for bucket in buckets.values_mut() {
            *bucket = (*bucket + CEILING.0 * step as f64 / 1e6).min(CEILING.1);
        }
        let me = rng.usize(0..3);
        if rng.u32(0..800) == 0 {
            gatekeepers[me] = Observed::new(me as u32, now);
        }
        if rng.u32(0..1500) == 0 {
            counts.clear();
        }
        let g = &mut gatekeepers[me];
        g.harness.now = now;
        let due: Vec<u64> = g.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
        g.timers.retain(|t| t.0 > now);
        for token in due {
            log.push(format!("{:?}", g.take(Event::Timer { token }, &mut buckets)));
        }
        for h in g.held.values().filter(|h| !h.done) {
            assert!(now <= h.deadline + 8 * MS, "rule 1: no answer in time");
        }
        let tenant = rng.u64(0..3);
        match rng.u32(0..10) {
            0..=3 => {
                let (id, class, units) = (next_id, rng.u16(0..3), rng.f64() * 4.0);
                let time_left = rng.u64(50..1000) * MS;
                next_id += 1;
                let h = OpenRequest {
                    class,
                    tenant,
                    units,
                    deadline: now + time_left,
                    attempts: vec![],
                    done: false,
                };
                g.held.insert(id, h);
                let request = Event::Request {
                    id: RequestId(id),
                    class,
                    plan: 0,
                    tenant: TenantId(tenant),
                    time_left,
                    tenant_gatekeepers: 3.0,
                    units,
                    client_retry: false,
                };
                log.push(format!("{:?}", g.take(request, &mut buckets)));
            }
            4..=7 => {
                let out = g.held.iter().flat_map(|(&id, h)| {
                    h.attempts
                        .iter()
                        .enumerate()
                        .filter(|(_, a)| a.ended.is_none())
                        .map(move |(i, _)| (id, i))
                });
                let out: Vec<(u32, usize)> = out.collect();
                if !out.is_empty() {
                    let (id, i) = out[rng.usize(0..out.len())];
                    use Outcome::*;
                    let outcome =
                        [Ok, Ok, Ok, Error, Rejected, Timeout, ConnectFailed, Reset][rng.usize(0..8)];
                    let h = g.held.get_mut(&id).unwrap();
                    h.attempts[i].ended = Some(outcome);
                    let backend = h.attempts[i].backend;
                    answered += u32::from(outcome == Ok && !h.done);
                    h.done |= outcome == Ok;
                    log.push(format!("{:?}", g.take(ended(id, i as u8, backend, outcome), &mut buckets)));
                }
            }
            8 => {
                if !g.calls.is_empty() {
                    let (name, add) = g.calls.remove(0);
                    let fate = rng.u32(0..6);
                    let total = counts.entry(name).or_insert(0.0);
                    *total += if fate < 5 { add } else { 0.0 };
                    let outcome = [
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Timeout,
                        Outcome::Rejected,
                    ];
                    let event = counted(name, *total, outcome[fate as usize]);
                    log.push(format!("{:?}", g.take(event, &mut buckets)));
                }
            }
            _ => {
                let id = rng.u32(1..7);
                let state =
                    [BackendState::Ready, BackendState::Draining, BackendState::Gone][rng.usize(0..3)];
                g.not_ready.insert(id, state != BackendState::Ready);
                let started = if rng.bool() { at(now) } else { Timestamp::ZERO };
                let entry = BackendEntry {
                    id: BackendId(id),
                    cell: (id as u16 - 1) / 2,
                    state,
                    started,
                    ..BackendEntry::default()
                };
                log.push(format!(
                    "{:?}",
                    g.take(Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] }, &mut buckets)
                ));
            }
        }
    }
    assert!(answered > 50, "the stream has to exercise something: {answered} answered");
    log
}

#[test]
fn rules_hold_on_random_streams() {
    for seed in 0..30 {
        run(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run(99), run(99));
}
