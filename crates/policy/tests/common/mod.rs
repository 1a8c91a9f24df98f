//! A test harness for the state machine of one gatekeeper, constructors of events, and queries on actions.
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
/// Number of backends of [`backends`] that share idempotency keys.
pub const BACKENDS_PER_CELL: u32 = 2;

/// The interval at which the harness runs the periodic timer.
const TICK: Micros = 20 * MS;
/// The token of the timer for periodic work.
const PERIODIC_TIMER_TOKEN: u64 = 0;
/// A timer token has its kind in the upper byte and the id of the request in the rest.
const TIMER_KIND_SHIFT: u32 = 56;
const DEADLINE_TIMER_KIND: u64 = 1;
const HEDGE_TIMER_KIND: u64 = 2;

/// The time at which clocks read this many microseconds.
pub fn timestamp(micros: Micros) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Settings with two gatekeepers, a plan of 10 units a second with a burst of 20, and three classes: class 0
/// is idempotent, class 1 is keyed, class 2 is not idempotent.
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

/// [`settings`] with a plan that has no limits.
pub fn unlimited_settings() -> Settings {
    Settings { plans: vec![Plan::default()], ..settings() }
}

/// [`settings`] for this many gatekeepers without a shared counter.
pub fn settings_without_counter(gatekeepers: u32) -> Settings {
    Settings { gatekeepers, shared_counter: false, ..settings() }
}

/// Ready backends `1..=count` that started long ago, [`BACKENDS_PER_CELL`] to a cell.
pub fn backends(count: u32) -> Vec<BackendEntry> {
    (1..=count)
        .map(|id| BackendEntry { id: BackendId(id), cell: cell_of(id) as u16, ..BackendEntry::default() })
        .collect()
}

/// The cell of a backend of [`backends`].
pub fn cell_of(backend: u32) -> u32 {
    (backend - 1) / BACKENDS_PER_CELL
}

/// One gatekeeper, and its clock, which tests advance.
pub struct Harness {
    pub policy: Policy,
    pub now: Timestamp,
    /// The totals of the shared counter that [`Harness::request`] calls.
    counter_totals: HashMap<u64, f64>,
    recorder: Recorder,
}

impl Harness {
    /// A gatekeeper that starts when its clock reads 1 us.
    pub fn new(settings: Settings, backends: &[BackendEntry]) -> Self {
        Self::start_at(timestamp(1), settings, backends)
    }

    /// A gatekeeper that starts at this time with a cached endpoint list.
    pub fn start_at(now: Timestamp, settings: Settings, backends: &[BackendEntry]) -> Self {
        let seed = 1 + u64::from(settings.gatekeeper_index);
        let policy = Policy::new(settings, seed, now).expect("the settings are valid");
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

    /// Feeds a request. Its counter calls are answered at once, by a counter that no other gatekeeper uses.
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

    /// Ends the attempts of a request among these actions as served, as attempt number 0. Returns the number
    /// of attempts.
    pub fn serve_attempts(&mut self, id: u32, actions: &[Action]) -> usize {
        let backends = sent_backends(actions);
        for &backend in &backends {
            self.end_attempt(id, 0, backend, Outcome::Ok);
        }
        backends.len()
    }

    /// Answers each counter call among the actions, and each call that follows, from the totals by name.
    /// Returns all actions.
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

    /// Like [`Harness::answer_counter_calls`], with one total for the counts of all names.
    pub fn answer_counter_calls_from(&mut self, actions: Vec<Action>, total: &mut f64) -> Vec<Action> {
        self.answer_counter_calls_with(actions, |_, units| {
            *total += units;
            *total
        })
    }

    /// Like [`Harness::answer_counter_calls`], with a function that adds units to a count and returns its
    /// total.
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

    /// Ends an attempt with an elapsed time of 50 ms. Only [`Outcome::Ok`] answers the request.
    pub fn end_attempt(&mut self, id: u32, attempt: u8, backend: u32, outcome: Outcome) -> Vec<Action> {
        self.feed(attempt_ended(id, attempt, backend, outcome))
    }

    /// Runs the periodic work once.
    pub fn tick(&mut self) -> Vec<Action> {
        self.feed(Event::Timer { token: PERIODIC_TIMER_TOKEN })
    }

    /// Advances the clock to this time, and runs the periodic work meanwhile.
    pub fn tick_until(&mut self, until: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.now < until {
            self.now = (self.now + TICK).min(until);
            actions.extend(self.tick());
        }
        actions
    }

    /// Advances the clock by a duration, and runs the periodic work meanwhile.
    pub fn tick_for(&mut self, duration: Micros) -> Vec<Action> {
        self.tick_until(self.now + duration)
    }
}

/// A request event. By default it has one unit in class 0 for [`TENANT`], and a second until its deadline.
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

/// The arrival of a request of one unit from this tenant.
pub fn request_of_tenant(tenant: u64, id: u32, class: u16) -> RequestEvent {
    RequestEvent { id, class, tenant: TenantId(tenant), ..RequestEvent::default() }
}

/// The end of an attempt 50 ms after it was sent. Only [`Outcome::Ok`] answers the request.
pub fn attempt_ended(id: u32, attempt: u8, backend: u32, outcome: Outcome) -> Event {
    attempt_ended_after(50 * MS, id, attempt, backend, outcome)
}

/// The end of an attempt `elapsed` microseconds after it was sent. Only [`Outcome::Ok`] answers the request.
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

/// The first attempt of a request is served `elapsed` microseconds after it was sent.
pub fn served_after(elapsed: Micros, id: u32, backend: u32) -> Event {
    attempt_ended_after(elapsed, id, 0, backend, Outcome::Ok)
}

pub fn counter_reply(name: u64, total: f64, outcome: Outcome) -> Event {
    Event::CounterReply { name, total, elapsed: MS, outcome }
}

/// The timer event for the deadline of a request.
pub fn deadline_timer(id: u32) -> Event {
    Event::Timer { token: DEADLINE_TIMER_KIND << TIMER_KIND_SHIFT | u64::from(id) }
}

/// The timer event for the hedge delay of the first attempt of a request.
pub fn hedge_timer(id: u32) -> Event {
    Event::Timer { token: HEDGE_TIMER_KIND << TIMER_KIND_SHIFT | u64::from(id) }
}

/// The backends to which attempts are sent, in order.
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

/// A call to the shared counter, from an [`Action::CounterAdd`].
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
