//! A test harness around one gatekeeper's state machine, builders of events, and queries on the returned
//! actions.
#![allow(dead_code)]

mod recorder;

use policy::Policy;
use policy::*;
use std::collections::HashMap;

pub use recorder::Recorder;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The tenant of [`request`].
pub const TENANT: TenantId = TenantId(7);
/// How many backends of [`backends`] share idempotency keys.
pub const BACKENDS_PER_CELL: u32 = 2;

/// The interval at which the harness runs the periodic timer.
const TICK: Micros = 20 * MS;
/// The token of the timer for periodic work.
const PERIODIC_TIMER: u64 = 0;
/// A timer token has its kind in the upper byte and the id of the request in the rest.
const TIMER_KIND_SHIFT: u32 = 56;
const DEADLINE_TIMER_KIND: u64 = 1;
const HEDGE_TIMER_KIND: u64 = 2;

/// The moment at which clocks read this many microseconds.
pub fn at(micros: Micros) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Two gatekeepers, one plan of 10 units a second with a burst of 20, and a class of each idempotency: class
/// 0 is idempotent, class 1 needs a key, class 2 is not idempotent.
pub fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        latency_objective: 500 * MS,
        deadline: SECOND,
        idempotency,
        idempotency_key_ttl: 500 * MS,
        ..RequestClass::default()
    };
    Settings {
        gatekeepers: 2,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }],
        max_attempts: 4,
        hedging: true,
        shared_counter: true,
        max_cost: 4.0,
        ..Settings::default()
    }
}

/// The same settings with a plan that has no limits.
pub fn unlimited_settings() -> Settings {
    Settings { plans: vec![Plan::default()], ..settings() }
}

/// The same settings for this many gatekeepers that have no shared counter.
pub fn settings_without_counter(gatekeepers: u32) -> Settings {
    Settings { gatekeepers, shared_counter: false, ..settings() }
}

/// Backends `1..=count` that have been ready for long, [`BACKENDS_PER_CELL`] to a cell.
pub fn backends(count: u32) -> Vec<BackendEntry> {
    (1..=count)
        .map(|id| BackendEntry { id: BackendId(id), cell: cell_of(id) as u16, ..BackendEntry::default() })
        .collect()
}

/// The cell of a backend of [`backends`].
pub fn cell_of(backend: u32) -> u32 {
    (backend - 1) / BACKENDS_PER_CELL
}

/// One gatekeeper, at a time that tests advance.
pub struct Harness {
    pub policy: Policy,
    pub now: Timestamp,
    /// The totals of the shared counter that [`Harness::request`] asks.
    counter_totals: HashMap<u64, f64>,
    recorder: Recorder,
}

impl Harness {
    /// A gatekeeper that starts at the first moment of its clock.
    pub fn new(settings: Settings, backends: &[BackendEntry]) -> Self {
        Self::start_at(at(1), settings, backends)
    }

    /// A gatekeeper that starts at this moment with a cached endpoint list.
    pub fn start_at(now: Timestamp, settings: Settings, backends: &[BackendEntry]) -> Self {
        let seed = 1 + u64::from(settings.gatekeeper_index);
        let policy = Policy::new(settings, seed, now).expect("usable settings");
        let mut harness = Self { policy, now, counter_totals: HashMap::new(), recorder: Recorder::new() };
        harness.feed(Event::Endpoints { kind: ListKind::Cached, entries: backends.to_vec() });
        harness
    }

    pub fn feed(&mut self, event: impl Into<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event.into(), &mut actions);
        self.recorder.record(self.now, &actions);
        actions
    }

    /// Feeds a request. A counter that no other gatekeeper uses answers its calls at once.
    pub fn request(&mut self, id: u32, class: u16, units: f64) -> Vec<Action> {
        let actions = self.feed(request(id, class, units));
        let mut totals = std::mem::take(&mut self.counter_totals);
        let actions = self.answer_counter_calls(actions, &mut totals);
        self.counter_totals = totals;
        actions
    }

    /// Feeds a request and ends its attempts as served. Returns whether it was admitted.
    pub fn serve(&mut self, id: u32, class: u16, units: f64) -> bool {
        let actions = self.request(id, class, units);
        self.serve_attempts(id, &actions) > 0
    }

    /// Ends the first attempts of a request among these actions as served. Returns how many there are.
    pub fn serve_attempts(&mut self, id: u32, actions: &[Action]) -> usize {
        let backends = sent_backends(actions);
        for &backend in &backends {
            self.end_attempt(id, 0, backend, Outcome::Ok);
        }
        backends.len()
    }

    /// Adds each counter call among the actions, and those that follow, to the total of its name, and feeds
    /// the reply. Returns all actions.
    pub fn answer_counter_calls(
        &mut self,
        actions: Vec<Action>,
        totals: &mut HashMap<u64, f64>,
    ) -> Vec<Action> {
        self.answer_counter_calls_with(actions, |name, units| {
            let total = totals.entry(name).or_insert(0.0);
            *total += units;
            *total
        })
    }

    /// The same with one total for calls of every name.
    pub fn answer_counter_calls_from(&mut self, actions: Vec<Action>, total: &mut f64) -> Vec<Action> {
        self.answer_counter_calls_with(actions, |_, units| {
            *total += units;
            *total
        })
    }

    /// The same with a function that returns the total of a name after units were added.
    fn answer_counter_calls_with(
        &mut self,
        mut actions: Vec<Action>,
        mut add: impl FnMut(u64, f64) -> f64,
    ) -> Vec<Action> {
        let mut next = 0;
        while next < actions.len() {
            if let Action::CounterAdd { name, units, .. } = actions[next] {
                actions.extend(self.feed(counter_reply(name, add(name, units), Outcome::Ok)));
            }
            next += 1;
        }
        actions
    }

    /// Ends an attempt after 50 ms; only [`Outcome::Ok`] answers the request.
    pub fn end_attempt(&mut self, id: u32, attempt: u8, backend: u32, outcome: Outcome) -> Vec<Action> {
        self.feed(attempt_ended(id, attempt, backend, outcome))
    }

    /// Runs the periodic work once.
    pub fn tick(&mut self) -> Vec<Action> {
        self.feed(Event::Timer { token: PERIODIC_TIMER })
    }

    /// Advances the time to this moment and runs the periodic work meanwhile.
    pub fn tick_until(&mut self, until: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.now < until {
            self.now = (self.now + TICK).min(until);
            actions.extend(self.tick());
        }
        actions
    }

    /// Advances the time by a span and runs the periodic work meanwhile.
    pub fn tick_for(&mut self, span: Micros) -> Vec<Action> {
        self.tick_until(self.now + span)
    }
}

/// A request event, by default of one unit in class 0 for [`TENANT`] with a second left.
#[derive(Clone, Copy, Debug)]
pub struct RequestEvent {
    pub id: u32,
    pub class: u16,
    pub plan: u32,
    pub tenant: TenantId,
    pub time_left: Micros,
    pub tenant_gatekeepers: f64,
    pub units: f64,
    pub client_retry: bool,
}

impl Default for RequestEvent {
    fn default() -> Self {
        Self {
            id: 0,
            class: 0,
            plan: 0,
            tenant: TENANT,
            time_left: SECOND,
            tenant_gatekeepers: 2.0,
            units: 1.0,
            client_retry: false,
        }
    }
}

impl From<RequestEvent> for Event {
    fn from(request: RequestEvent) -> Self {
        Self::Request {
            id: RequestId(request.id),
            class: request.class,
            plan: request.plan,
            tenant: request.tenant,
            time_left: request.time_left,
            tenant_gatekeepers: request.tenant_gatekeepers,
            units: request.units,
            client_retry: request.client_retry,
        }
    }
}

pub fn request(id: u32, class: u16, units: f64) -> RequestEvent {
    RequestEvent { id, class, units, ..RequestEvent::default() }
}

/// A request of one unit.
pub fn request_of_tenant(tenant: u64, id: u32, class: u16) -> RequestEvent {
    RequestEvent { id, class, tenant: TenantId(tenant), ..RequestEvent::default() }
}

/// The end of an attempt 50 ms after it was sent; only [`Outcome::Ok`] answers the request.
pub fn attempt_ended(id: u32, attempt: u8, backend: u32, outcome: Outcome) -> Event {
    attempt_ended_after(50 * MS, id, attempt, backend, outcome)
}

/// The end of an attempt this long after it was sent; only [`Outcome::Ok`] answers the request.
pub fn attempt_ended_after(elapsed: Micros, id: u32, attempt: u8, backend: u32, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        id: RequestId(id),
        attempt,
        backend: BackendId(backend),
        outcome,
        elapsed,
        units: 0.0,
        answered: outcome == Outcome::Ok,
        load: Vec::new(),
    }
}

/// The first attempt of a request was served this long after it was sent.
pub fn served_after(elapsed: Micros, id: u32, backend: u32) -> Event {
    attempt_ended_after(elapsed, id, 0, backend, Outcome::Ok)
}

pub fn counter_reply(name: u64, total: f64, outcome: Outcome) -> Event {
    Event::CounterReply { name, total, elapsed: MS, outcome }
}

/// The deadline of a request passed.
pub fn deadline_timer(id: u32) -> Event {
    Event::Timer { token: DEADLINE_TIMER_KIND << TIMER_KIND_SHIFT | u64::from(id) }
}

/// The time came to hedge a request.
pub fn hedge_timer(id: u32) -> Event {
    Event::Timer { token: HEDGE_TIMER_KIND << TIMER_KIND_SHIFT | u64::from(id) }
}

/// The backends that attempts were sent to, in order.
pub fn sent_backends(actions: &[Action]) -> Vec<u32> {
    let backend =
        |action: &Action| if let Action::Send { backend, .. } = action { Some(backend.0) } else { None };
    actions.iter().filter_map(backend).collect()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// An [`Action::CounterAdd`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    pub name: u64,
    pub units: f64,
}

/// All calls to the shared counter, in order.
pub fn counter_calls(actions: &[Action]) -> impl Iterator<Item = CounterCall> {
    actions.iter().filter_map(|action| match *action {
        Action::CounterAdd { name, units, .. } => Some(CounterCall { name, units }),
        _ => None,
    })
}

/// The first call to the shared counter.
pub fn counter_call(actions: &[Action]) -> Option<CounterCall> {
    counter_calls(actions).next()
}
