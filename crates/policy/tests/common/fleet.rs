//! A fleet of decision modules in simulated time: gatekeepers, backends with two cores and a line, and a counter.
//!
//! Everything that happens is an entry in one queue by time, and chance comes from one seed, so a run is the same each
//! time. Nothing here decides: it only counts what the gatekeepers do together.

use super::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

/// Simulated happens to a gatekeeper, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Simulated {
    Arrival(usize),
    Timer(usize, u64),
    Answer(usize, u32, u8),
    TooLate(usize, u32, u8),
    Count(usize, u64, u64),
}

/// A backend as it is.
#[derive(Clone, Debug)]
pub struct Server {
    /// When each core is free.
    cores: [Micros; 2],
    /// It takes requests and never answers.
    pub is_silent: bool,
    /// Its start; 0 for long ago.
    started: Micros,
}

/// Simulated a fleet is made of and what is asked of it.
pub struct Shape {
    pub gatekeepers: u32,
    pub servers: u32,
    /// Requests a second over all gatekeepers.
    pub rate: f64,
    /// us; mean work of a request.
    pub work: f64,
    /// One gatekeeper in ten is requested this many times what each of the others is.
    pub busiest: f64,
    /// A backend in slow start falls at so many times what it can do then.
    pub overload: f64,
    pub seed: u64,
}

/// A try that a gatekeeper was given.
struct Submitted {
    came: Micros,
    deadline: Micros,
    /// Backend, time of sending and whether it is over, by attempt.
    attempts: Vec<(u32, Micros, bool)>,
    over: bool,
}

/// A fleet and what it did.
pub struct Fleet {
    pub now: Micros,
    settings: Settings,
    shape: Shape,
    gatekeepers: Vec<Policy>,
    pub servers: HashMap<u32, Server>,
    submitted: Vec<HashMap<u32, Submitted>>,
    queue: BinaryHeap<Reverse<(Micros, u64, Simulated)>>,
    serial: u64,
    next_id: u32,
    rng: fastrand::Rng,
    counts: HashMap<u64, f64>,
    /// All sends: time, gatekeeper, backend.
    pub sends: Vec<(Micros, usize, u32)>,
    /// Tries that came, that were answered in time, and that were rejected or failed.
    pub tally: [usize; 3],
    recorder: Recorder,
}

impl Fleet {
    pub fn new(shape: Shape) -> Self {
        let class = RequestClass {
            latency_objective: 1_500 * MS,
            deadline: 6 * SECOND,
            idempotency: Idempotency::Idempotent,
            ..RequestClass::default()
        };
        let settings = Settings {
            gatekeepers: shape.gatekeepers,
            classes: vec![class],
            plans: vec![Plan::default()],
            max_attempts: 6,
            hedging: true,
            slow_start_share: 0.16,
            slow_start_duration: 17 * SECOND,
            overload_factor: shape.overload,
            overload_duration: 1_500 * MS,
            shared_counter: true,
            counter_timeout: 30 * MS,
            max_cost: 8.0,
            ..Settings::default()
        };
        let now = 1_000 * SECOND;
        let server = Server { cores: [0; 2], is_silent: false, started: 0 };
        let mut fleet = Self {
            now,
            gatekeepers: Vec::new(),
            servers: (1..=shape.servers).map(|id| (id, server.clone())).collect(),
            submitted: (0..shape.gatekeepers).map(|_| HashMap::new()).collect(),
            queue: BinaryHeap::new(),
            serial: 0,
            next_id: 0,
            rng: fastrand::Rng::with_seed(shape.seed),
            counts: HashMap::new(),
            sends: Vec::new(),
            tally: [0; 3],
            recorder: Recorder::new(),
            settings,
            shape,
        };
        for me in 0..fleet.shape.gatekeepers {
            let settings = Settings { gatekeeper_index: me, ..fleet.settings.clone() };
            let seed = fleet.rng.u64(..);
            fleet.gatekeepers.push(Policy::new(settings, seed, at(now)).expect("usable settings"));
            let entries = fleet.list();
            fleet.feed(me as usize, Event::Endpoints { kind: ListKind::Cached, entries });
            let first = fleet.gap(me as usize);
            fleet.at(now + first, Simulated::Arrival(me as usize));
        }
        fleet
    }

    /// The whole list as it is.
    fn list(&self) -> Vec<BackendEntry> {
        let entry = |(&id, s): (&u32, &Server)| BackendEntry {
            id: BackendId(id),
            started: at(s.started),
            ..Default::default()
        };
        let mut list: Vec<_> = self.servers.iter().map(entry).collect();
        list.sort_by_key(|e| e.id);
        list
    }

    /// Puts new backend in slow starts in the place of these, and tells every gatekeeper.
    pub fn replace(&mut self, ids: &[u32]) -> Vec<u32> {
        let next = self.servers.keys().max().copied().unwrap_or(0);
        for (i, id) in ids.iter().enumerate() {
            let mut server = self.servers.remove(id).expect("it is there");
            (server.cores, server.started) = ([0; 2], self.now);
            self.servers.insert(next + 1 + i as u32, server);
        }
        for g in 0..self.gatekeepers.len() {
            let entries = self.list();
            self.feed(g, Event::Endpoints { kind: ListKind::Full, entries });
        }
        (1..=ids.len() as u32).map(|i| next + i).collect()
    }

    /// The share of its capacity that a backend has: the slowest legal warm-up.
    fn warmth(&self, s: &Server, now: Micros) -> f64 {
        if s.started == 0 {
            return 1.0;
        }
        let age = (now - s.started) as f64 / self.settings.slow_start_duration as f64;
        (self.settings.slow_start_share + (1.0 - self.settings.slow_start_share) * age).min(1.0)
    }

    /// Simulated was sent to a backend in slow start in each window that begins with a send, and the rule's budget for that.
    fn slow_start_windows(&self, id: u32) -> Vec<(f64, f64)> {
        let (s, span) = (&self.servers[&id], self.settings.overload_duration);
        let carries = 2.0 * SECOND as f64 / self.shape.work;
        let times: Vec<Micros> = self.sends.iter().filter(|x| x.2 == id).map(|x| x.0).collect();
        let cold = times.iter().enumerate().take_while(|&(_, &from)| self.warmth(s, from) < 1.0);
        let window = |(i, &from): (usize, &Micros)| {
            let sent = times[i..].iter().take_while(|&&t| t < from + span).count() as f64;
            let part = self.settings.overload_factor * self.warmth(s, from);
            (sent, part * carries * span as f64 / SECOND as f64)
        };
        cold.map(window).collect()
    }

    /// The largest part of the cold rule's budget that was sent to one backend in any of its windows.
    pub fn slow_start_budget_used(&self, id: u32) -> f64 {
        self.slow_start_windows(id).into_iter().map(|(sent, budget)| sent / budget).fold(0.0, f64::max)
    }

    /// How far what was sent to a backend in slow start went beyond the rule's budget of N in its worst window, in parts of what counts
    /// as chance: 2 x root of N + 2.
    pub fn slow_start_excess(&self, id: u32) -> f64 {
        let excess = |(sent, budget): (f64, f64)| (sent - budget) / (2.0 * budget.sqrt() + 2.0);
        self.slow_start_windows(id).into_iter().map(excess).fold(0.0, f64::max)
    }

    /// How many backends a gatekeeper has sent to since a time, in the mean over gatekeepers.
    pub fn backends_used(&self, since: Micros) -> f64 {
        let pairs: HashSet<_> = self.sends.iter().filter(|x| x.0 >= since).map(|x| (x.1, x.2)).collect();
        pairs.len() as f64 / self.gatekeepers.len() as f64
    }

    pub fn run_until(&mut self, until: Micros) {
        while let Some(&Reverse((at, _, what))) = self.queue.peek()
            && at <= until
        {
            self.queue.pop();
            self.now = at;
            self.happen(what);
        }
        self.now = until;
    }

    fn at(&mut self, at: Micros, what: Simulated) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, what)));
    }

    fn gap(&mut self, gatekeeper: usize) -> Micros {
        let weight = |gatekeeper: usize| if gatekeeper.is_multiple_of(10) { self.shape.busiest } else { 1.0 };
        let all: f64 = (0..self.shape.gatekeepers as usize).map(weight).sum();
        let mean = all / weight(gatekeeper) / self.shape.rate * SECOND as f64;
        (-(1.0 - self.rng.f64()).ln() * mean) as Micros + 1
    }

    fn happen(&mut self, what: Simulated) {
        match what {
            Simulated::Arrival(g) => {
                let (id, deadline) = (self.next_id, self.now + self.settings.classes[0].deadline);
                self.next_id += 1;
                self.tally[0] += 1;
                self.submitted[g]
                    .insert(id, Submitted { came: self.now, deadline, attempts: Vec::new(), over: false });
                let gap = self.gap(g);
                self.at(self.now + gap, Simulated::Arrival(g));
                self.feed(
                    g,
                    Event::Request {
                        id: RequestId(id),
                        class: 0,
                        plan: 0,
                        tenant: TenantId(u64::from(id % 50)),
                        time_left: deadline - self.now,
                        tenant_gatekeepers: 4.0,
                        units: 1.0,
                        client_retry: false,
                    },
                );
            }
            Simulated::Timer(g, token) => self.feed(g, Event::Timer { token }),
            Simulated::Answer(g, id, attempt) => self.ended(g, id, attempt, Outcome::Ok),
            Simulated::TooLate(g, id, attempt) => self.ended(g, id, attempt, Outcome::Timeout),
            Simulated::Count(g, name, add) => {
                let total = self.counts.entry(name).or_insert(0.0);
                *total += f64::from_bits(add);
                let total = *total;
                self.feed(g, Event::CounterReply { name, total, elapsed: 2 * MS, outcome: Outcome::Ok });
            }
        }
    }

    fn ended(&mut self, g: usize, id: u32, attempt: u8, outcome: Outcome) {
        let now = self.now;
        let Some(t) = self.submitted[g].get_mut(&id) else { return };
        let (backend, sent, ended) = &mut t.attempts[usize::from(attempt)];
        if std::mem::replace(ended, true) {
            return;
        }
        let (backend, elapsed) = (*backend, now - *sent);
        if outcome == Outcome::Ok && !std::mem::replace(&mut t.over, true) {
            self.tally[1] += usize::from(now <= t.came + self.settings.classes[0].latency_objective);
        }
        let settled = t.over;
        let ended = Event::AttemptEnded {
            id: RequestId(id),
            attempt,
            backend: BackendId(backend),
            outcome,
            elapsed,
            units: 0.0,
            answered: settled,
            load: vec![],
        };
        self.feed(g, ended);
    }

    fn feed(&mut self, g: usize, event: Event) {
        let mut actions = Vec::new();
        self.gatekeepers[g].handle(at(self.now), event, &mut actions);
        self.recorder.record(self.now, &actions);
        for action in actions {
            match action {
                Action::Send { id, backend, .. } => self.send(g, id.0, backend.0),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    let t = self.submitted[g].get_mut(&id.0).expect("it was given");
                    assert!(!std::mem::replace(&mut t.over, true), "answered twice");
                    self.tally[2] += 1;
                }
                Action::Timer { after, token } => self.at(self.now + after, Simulated::Timer(g, token)),
                Action::CounterAdd { name, units: add, .. } => {
                    self.at(self.now + 2 * MS, Simulated::Count(g, name, add.to_bits()));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, g: usize, id: u32, backend: u32) {
        let now = self.now;
        self.sends.push((now, g, backend));
        let t = self.submitted[g].get_mut(&id).expect("it was given");
        let (attempt, deadline) = (t.attempts.len() as u8, t.deadline);
        t.attempts.push((backend, now, false));
        let work = -(1.0 - self.rng.f64()).ln() * self.shape.work;
        let mut done = Micros::MAX;
        if let Some(s) = self.servers.get(&backend).filter(|s| !s.is_silent) {
            let took = (work / self.warmth(s, now)) as Micros;
            let cores = &mut self.servers.get_mut(&backend).expect("it is there").cores;
            let core = usize::from(cores[1] < cores[0]);
            cores[core] = cores[core].max(now) + took;
            done = cores[core];
        }
        if done < deadline {
            self.at(done, Simulated::Answer(g, id, attempt));
        } else {
            self.at(deadline, Simulated::TooLate(g, id, attempt));
        }
    }
}
