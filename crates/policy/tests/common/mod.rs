//! Hand-written events and a look at the actions.
#![allow(dead_code)]

mod recorder;

use policy::Policy;
use policy::*;
use std::collections::HashMap;

pub use recorder::Recorder;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The moment at which clocks read this many microseconds.
pub fn at(micros: Micros) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Two gatekeepers, one plan of 10 units a second with a burst of 20, one class of each effect, warm backends.
pub fn settings() -> Settings {
    let class = |effect| RequestClass {
        latency_objective: 500 * MS,
        deadline: SECOND,
        idempotency: effect,
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

/// One gatekeeper and the actions of its last event.
pub struct Harness {
    pub policy: Policy,
    pub now: Micros,
    totals: HashMap<u64, f64>,
    recorder: Recorder,
}

impl Harness {
    pub fn new(settings: Settings, backends: &[BackendEntry]) -> Self {
        Self::start(settings, backends, 1)
    }

    /// A gatekeeper that starts at this time, knowing nothing.
    pub fn start(settings: Settings, backends: &[BackendEntry], now: Micros) -> Self {
        let seed = 1 + u64::from(settings.gatekeeper_index);
        let gatekeeper = Policy::new(settings, seed, at(now)).expect("usable settings");
        let mut harness = Self { policy: gatekeeper, now, totals: HashMap::new(), recorder: Recorder::new() };
        harness.feed(Event::Endpoints { kind: ListKind::Cached, entries: backends.to_vec() });
        harness
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(at(self.now), event, &mut out);
        self.recorder.record(at(self.now), &out);
        out
    }

    /// A request; a counter that knows this gatekeeper's spend alone answers its calls at once.
    pub fn request(&mut self, id: u32, class: u16, units: f64) -> Vec<Action> {
        let out = self.feed(request(id, class, units));
        let mut totals = std::mem::take(&mut self.totals);
        let out = self.count_by_name(out, |name, add| {
            let total = totals.entry(name).or_insert(0.0);
            *total += add;
            *total
        });
        self.totals = totals;
        out
    }

    /// Answers calls to a counter with this total, and those that follow; returns all actions.
    pub fn count_in(&mut self, actions: Vec<Action>, total: &mut f64) -> Vec<Action> {
        self.count_by_name(actions, |_, add| {
            *total += add;
            *total
        })
    }

    /// The same with a counter that tells the total of a name after an amount was added.
    pub fn count_by_name(
        &mut self,
        actions: Vec<Action>,
        mut total: impl FnMut(u64, f64) -> f64,
    ) -> Vec<Action> {
        let (mut all, mut next) = (actions, 0);
        while next < all.len() {
            if let Action::CounterAdd { name, units: add, .. } = all[next] {
                all.extend(self.feed(counted(name, total(name, add), Outcome::Ok)));
            }
            next += 1;
        }
        all
    }

    /// Ends an attempt; only [`Outcome::Ok`] settles the request.
    pub fn end(&mut self, id: u32, attempt: u8, backend: u32, outcome: Outcome) -> Vec<Action> {
        self.feed(ended(id, attempt, backend, outcome))
    }

    /// Lets housekeeping run until `until`.
    pub fn tick_until(&mut self, until: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        while self.now < until {
            self.now = (self.now + 20 * MS).min(until);
            all.extend(self.feed(Event::Timer { token: 0 }));
        }
        all
    }
}

pub fn request(id: u32, class: u16, units: f64) -> Event {
    Event::Request {
        id: RequestId(id),
        class,
        plan: 0,
        tenant: TenantId(7),
        time_left: SECOND,
        tenant_gatekeepers: 2.0,
        units,
        client_retry: false,
    }
}

pub fn ended(id: u32, attempt: u8, backend: u32, outcome: Outcome) -> Event {
    let settled = outcome == Outcome::Ok;
    Event::AttemptEnded {
        id: RequestId(id),
        attempt,
        backend: BackendId(backend),
        outcome,
        elapsed: 50 * MS,
        units: 0.0,
        answered: settled,
        load: Vec::new(),
    }
}

pub fn counted(name: u64, total: f64, outcome: Outcome) -> Event {
    Event::CounterReply { name, total, elapsed: MS, outcome }
}

/// Ready, warm backends `1..=n`, two to a cell.
pub fn backends(n: u32) -> Vec<BackendEntry> {
    (1..=n)
        .map(|id| BackendEntry { id: BackendId(id), cell: (id as u16 - 1) / 2, ..BackendEntry::default() })
        .collect()
}

pub fn sends(actions: &[Action]) -> Vec<u32> {
    let pick = |a: &Action| if let Action::Send { backend, .. } = a { Some(backend.0) } else { None };
    actions.iter().filter_map(pick).collect()
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn count(actions: &[Action]) -> Option<(u64, f64)> {
    actions.iter().find_map(|a| {
        if let Action::CounterAdd { name, units: add, .. } = a { Some((*name, *add)) } else { None }
    })
}

/// One of so many gatekeepers, without a counter.
pub fn fleet_of(gatekeepers: u32) -> Settings {
    Settings { gatekeepers, shared_counter: false, ..settings() }
}

pub fn request_of(id: u32, class: u16, tenant: u64) -> Event {
    Event::Request {
        id: RequestId(id),
        class,
        plan: 0,
        tenant: TenantId(tenant),
        time_left: SECOND,
        tenant_gatekeepers: 2.0,
        units: 1.0,
        client_retry: false,
    }
}

/// The first attempt of a request was served after this span.
pub fn served_after(span: Micros, id: u32, backend: u32) -> Event {
    let mut end = ended(id, 0, backend, Outcome::Ok);
    if let Event::AttemptEnded { elapsed, .. } = &mut end {
        *elapsed = span;
    }
    end
}
