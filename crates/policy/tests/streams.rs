//! Property tests: seeded random event streams at several gatekeepers are checked against invariants. Each
//! request gets one answer in time, a request is executed at most once unless a repetition is harmless,
//! draining backends get no new attempts, and no tenant exceeds its ceiling.

mod common;
use common::*;
use policy::*;
use std::collections::BTreeMap;

const GATEKEEPERS: u32 = 3;
const TENANTS: u64 = 3;
const BACKENDS: u32 = 6;
const CEILING_RATE: f64 = 30.0;
const CEILING_BURST: f64 = 60.0;
/// The classes of [`settings`].
const IDEMPOTENT: u16 = 0;
const KEYED: u16 = 1;
const NON_IDEMPOTENT: u16 = 2;
const KEY_TTL: Micros = 500 * MS;
/// Longest time after the deadline at which a request may get its final answer.
const DEADLINE_TOLERANCE: Micros = 8 * MS;

struct Attempt {
    backend: u32,
    sent_at: Timestamp,
    /// How the attempt ended; `None` while the attempt is in flight.
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

struct Request {
    class: u16,
    tenant: u64,
    units: f64,
    deadline: Timestamp,
    attempts: Vec<Attempt>,
    answered: bool,
}

impl Request {
    /// Checks that a further attempt is allowed in addition to the earlier ones.
    fn check_further_attempt(&self, backend: u32, now: Timestamp) {
        for earlier in self.attempts.iter().filter(|attempt| attempt.may_have_run()) {
            assert_ne!(self.class, NON_IDEMPOTENT, "a non-idempotent request was sent twice");
            if self.class == KEYED {
                assert_eq!(cell_of(earlier.backend), cell_of(backend), "a keyed request left its cell");
                assert!(
                    now <= earlier.sent_at + KEY_TTL,
                    "a keyed request was retried after the lifetime of its key"
                );
            }
        }
    }
}

/// A final answer that the gatekeeper gives itself, as opposed to an answer of a backend.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Rejected,
    Failed,
}

struct PendingTimer {
    expires_at: Timestamp,
    token: u64,
}

/// Token buckets that hold the true level of each tenant's ceiling, over all gatekeepers.
#[derive(Default)]
struct Ceilings {
    levels: BTreeMap<u64, f64>,
}

impl Ceilings {
    fn refill(&mut self, elapsed: Micros) {
        for level in self.levels.values_mut() {
            *level = (*level + CEILING_RATE * elapsed as f64 / 1e6).min(CEILING_BURST);
        }
    }

    fn spend(&mut self, tenant: u64, units: f64) {
        let level = self.levels.entry(tenant).or_insert(CEILING_BURST);
        *level -= units;
        assert!(*level >= 0.0, "tenant {tenant} exceeded its ceiling");
    }
}

/// One gatekeeper, and a model of its requests, timers and backends to check its actions against.
struct ObservedGatekeeper {
    harness: Harness,
    requests: BTreeMap<u32, Request>,
    timers: Vec<PendingTimer>,
    counter_calls: Vec<CounterCall>,
    /// Whether a backend is eligible according to the latest update. A backend without an entry is eligible.
    eligible: BTreeMap<u32, bool>,
}

impl ObservedGatekeeper {
    fn start(index: u32, now: Timestamp) -> Self {
        let plan =
            Plan { ceiling_rate: CEILING_RATE, ceiling_burst: CEILING_BURST, ..settings().plans[0].clone() };
        let settings = Settings {
            gatekeepers: GATEKEEPERS,
            gatekeeper_index: index,
            plans: vec![plan],
            slow_start_duration: SECOND,
            ..settings()
        };
        let mut gatekeeper = Self {
            harness: Harness::start_at(now, settings, &[]),
            requests: BTreeMap::new(),
            timers: vec![PendingTimer { expires_at: now, token: 0 }],
            counter_calls: vec![],
            eligible: BTreeMap::new(),
        };
        let endpoints = Event::Endpoints { kind: ListKind::Cached, entries: backends(BACKENDS) };
        gatekeeper.feed(endpoints, &mut Ceilings::default());
        gatekeeper
    }

    /// Feeds an event, checks each action, and returns the actions.
    fn feed(&mut self, event: Event, ceilings: &mut Ceilings) -> Vec<Action> {
        let now = self.harness.now;
        let actions = self.harness.feed(event);
        for action in &actions {
            match *action {
                Action::Send { id, backend, .. } => self.check_send(id, backend.0, ceilings),
                Action::Reject { id, .. } => self.check_answer(id, Answer::Rejected),
                Action::Fail { id } => self.check_answer(id, Answer::Failed),
                Action::Timer { after, token } => {
                    self.timers.push(PendingTimer { expires_at: now + after, token });
                }
                Action::CounterAdd { name, units, .. } => {
                    self.counter_calls.push(CounterCall { name, units });
                }
                _ => {}
            }
        }
        actions
    }

    fn check_send(&mut self, id: RequestId, backend: u32, ceilings: &mut Ceilings) {
        let now = self.harness.now;
        let request = self.requests.get_mut(&id.0).expect("only submitted requests are sent");
        assert!(!request.answered, "an attempt was sent after the final answer");
        assert!(
            self.eligible.get(&backend).copied().unwrap_or(true),
            "an attempt was sent to a backend that is not eligible"
        );
        request.check_further_attempt(backend, now);
        if request.attempts.is_empty() {
            ceilings.spend(request.tenant, request.units);
        }
        request.attempts.push(Attempt { backend, sent_at: now, outcome: None });
    }

    fn check_answer(&mut self, id: RequestId, answer: Answer) {
        let request = self.requests.get_mut(&id.0).expect("only submitted requests are answered");
        assert!(!request.answered, "a request was answered twice");
        request.answered = true;
        let may_have_run = request.attempts.iter().any(Attempt::may_have_run);
        let is_not_idempotent = request.class != IDEMPOTENT;
        let claims_not_executed = answer == Answer::Rejected;
        assert!(
            !(claims_not_executed && may_have_run && is_not_idempotent),
            "a request that may have been executed was rejected"
        );
    }

    fn check_deadlines(&self) {
        for request in self.requests.values().filter(|request| !request.answered) {
            assert!(
                self.harness.now <= request.deadline + DEADLINE_TOLERANCE,
                "a request has no answer after its deadline"
            );
        }
    }

    /// Removes the timers that have expired, and returns their tokens.
    fn take_expired_timers(&mut self) -> Vec<u64> {
        let now = self.harness.now;
        self.timers.extract_if(.., |timer| timer.expires_at <= now).map(|timer| timer.token).collect()
    }

    /// All attempts in flight, as pairs of request and attempt number.
    fn attempts_in_flight(&self) -> Vec<(u32, usize)> {
        let attempts = self.requests.iter().flat_map(|(&id, request)| {
            request.attempts.iter().enumerate().map(move |(number, attempt)| (id, number, attempt))
        });
        attempts
            .filter(|(_, _, attempt)| attempt.outcome.is_none())
            .map(|(id, number, _)| (id, number))
            .collect()
    }
}

/// A random stream of events at all gatekeepers.
struct RandomStream {
    rng: fastrand::Rng,
    now: Timestamp,
    gatekeepers: Vec<ObservedGatekeeper>,
    counter_totals: BTreeMap<u64, f64>,
    ceilings: Ceilings,
    next_request_id: u32,
    answered: u32,
    /// The actions that followed each event, in debug format.
    log: Vec<String>,
}

impl RandomStream {
    const STEPS: usize = 6_000;

    /// Runs a stream to its end and returns its log.
    fn run(seed: u64) -> Vec<String> {
        let start = timestamp(1);
        let mut stream = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: start,
            gatekeepers: (0..GATEKEEPERS).map(|index| ObservedGatekeeper::start(index, start)).collect(),
            counter_totals: BTreeMap::new(),
            ceilings: Ceilings::default(),
            next_request_id: 0,
            answered: 0,
            log: Vec::new(),
        };
        for _ in 0..Self::STEPS {
            stream.step();
        }
        assert!(
            stream.answered > 50,
            "too few requests were served for a meaningful check: {}",
            stream.answered
        );
        stream.log
    }

    /// Advances the time, occasionally restarts a gatekeeper or the counter, and feeds one gatekeeper its
    /// expired timers and a random event.
    fn step(&mut self) {
        let elapsed = self.rng.u64(0..4) * MS;
        self.now += elapsed;
        self.ceilings.refill(elapsed);
        let index = self.rng.usize(0..GATEKEEPERS as usize);
        if self.rng.u32(0..800) == 0 {
            self.gatekeepers[index] = ObservedGatekeeper::start(index as u32, self.now);
        }
        if self.rng.u32(0..1500) == 0 {
            self.counter_totals.clear();
        }
        self.gatekeepers[index].harness.now = self.now;
        for token in self.gatekeepers[index].take_expired_timers() {
            self.feed(index, Event::Timer { token });
        }
        self.gatekeepers[index].check_deadlines();
        let tenant = self.rng.u64(0..TENANTS);
        match self.rng.u32(0..10) {
            0..=3 => self.submit_request(index, tenant),
            4..=7 => self.end_some_attempt(index),
            8 => self.answer_counter_call(index),
            _ => self.change_endpoint(index),
        }
    }

    fn feed(&mut self, index: usize, event: Event) {
        let actions = self.gatekeepers[index].feed(event, &mut self.ceilings);
        self.log.push(format!("{actions:?}"));
    }

    fn submit_request(&mut self, index: usize, tenant: u64) {
        let id = self.next_request_id;
        self.next_request_id += 1;
        let class = self.rng.u16(0..3);
        let units = self.rng.f64() * 4.0;
        let time_left = self.rng.u64(50..1000) * MS;
        let deadline = self.now + time_left;
        self.gatekeepers[index]
            .requests
            .insert(id, Request { class, tenant, units, deadline, attempts: vec![], answered: false });
        let request = RequestEvent {
            units,
            time_left,
            tenant_gatekeepers: f64::from(GATEKEEPERS),
            ..request_of_tenant(tenant, id, class)
        };
        self.feed(index, request.into());
    }

    fn end_some_attempt(&mut self, index: usize) {
        const OUTCOMES: [Outcome; 8] = [
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::Timeout,
            Outcome::ConnectFailed,
            Outcome::Reset,
        ];
        let in_flight = self.gatekeepers[index].attempts_in_flight();
        if in_flight.is_empty() {
            return;
        }
        let (id, number) = in_flight[self.rng.usize(0..in_flight.len())];
        let outcome = OUTCOMES[self.rng.usize(0..OUTCOMES.len())];
        let request = self.gatekeepers[index]
            .requests
            .get_mut(&id)
            .expect("requests with attempts in flight are known");
        let attempt = &mut request.attempts[number];
        attempt.outcome = Some(outcome);
        let backend = attempt.backend;
        if outcome == Outcome::Ok {
            self.answered += u32::from(!request.answered);
            request.answered = true;
        }
        self.feed(index, attempt_ended(id, number as u8, backend, outcome));
    }

    /// Ends the oldest counter call. The units of a call that times out are added to the total, but not the
    /// units of a rejected call.
    fn answer_counter_call(&mut self, index: usize) {
        const OUTCOMES: [Outcome; 6] =
            [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Timeout, Outcome::Rejected];
        let calls = &mut self.gatekeepers[index].counter_calls;
        if calls.is_empty() {
            return;
        }
        let call = calls.remove(0);
        let outcome = OUTCOMES[self.rng.u32(0..OUTCOMES.len() as u32) as usize];
        let total = self.counter_totals.entry(call.name).or_insert(0.0);
        *total += if outcome == Outcome::Rejected { 0.0 } else { call.units };
        let reply = counter_reply(call.name, *total, outcome);
        self.feed(index, reply);
    }

    /// Makes a random backend ready or draining, or removes it from the list. The backend may also have
    /// restarted.
    fn change_endpoint(&mut self, index: usize) {
        const STATES: [BackendState; 3] = [BackendState::Ready, BackendState::Draining, BackendState::Gone];
        let id = self.rng.u32(1..BACKENDS + 1);
        let state = STATES[self.rng.usize(0..STATES.len())];
        self.gatekeepers[index].eligible.insert(id, state == BackendState::Ready);
        let started = if self.rng.bool() { self.now } else { Timestamp::ZERO };
        let entry = BackendEntry {
            id: BackendId(id),
            cell: cell_of(id) as u16,
            state,
            started,
            ..BackendEntry::default()
        };
        self.feed(index, Event::Endpoints { kind: ListKind::Delta, entries: vec![entry] });
    }
}

#[test]
fn rules_hold_on_random_streams() {
    for seed in 0..30 {
        RandomStream::run(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(RandomStream::run(99), RandomStream::run(99));
}
