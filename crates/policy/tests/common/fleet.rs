//! A discrete-event simulation of a fleet: gatekeepers, backends with two cores and a queue each, and a
//! shared counter.
//!
//! Events are processed in order of time, and all randomness comes from one seed, so a run can be repeated
//! exactly. All decisions are the policy's; the simulation delivers events and records what the gatekeepers
//! send.

use super::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

/// Time from a call to the shared counter until its reply arrives.
const COUNTER_DELAY: Micros = 2 * MS;
const CORES: usize = 2;
const TENANTS: u32 = 50;

/// An event of the simulation. `gatekeeper` is an index into [`Fleet::gatekeepers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    RequestArrives { gatekeeper: usize },
    TimerExpires { gatekeeper: usize, token: u64 },
    AttemptServed { gatekeeper: usize, id: u32, attempt: u8 },
    AttemptTimesOut { gatekeeper: usize, id: u32, attempt: u8 },
    CounterReplies { gatekeeper: usize, name: u64, added_units_bits: u64 },
}

/// An event in the queue. Events at the same moment are processed in the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Timestamp,
    serial: u64,
    event: SimulatedEvent,
}

/// A simulated backend.
#[derive(Clone, Debug)]
pub struct SimulatedBackend {
    /// The moment at which each core has finished its queue.
    core_free_at: [Timestamp; CORES],
    /// Whether the backend accepts requests but never answers.
    pub is_silent: bool,
    /// Time of the most recent start; [`Timestamp::ZERO`] if that was long ago.
    started: Timestamp,
}

/// Size and load of a fleet.
pub struct FleetParameters {
    pub gatekeepers: u32,
    pub backends: u32,
    /// Requests a second over all gatekeepers.
    pub request_rate: f64,
    /// Mean service time of a request in microseconds.
    pub mean_work: f64,
    /// Every tenth gatekeeper receives this many times the traffic of each of the others.
    pub busy_traffic_factor: f64,
    /// Value of [`Settings::overload_factor`]: what a backend in slow start may be sent, relative to its
    /// capacity at that time.
    pub overload_factor: f64,
    pub seed: u64,
}

/// One attempt of a [`SubmittedRequest`].
struct SimulatedAttempt {
    backend: u32,
    sent_at: Timestamp,
    ended: bool,
}

/// A request that a gatekeeper received.
struct SubmittedRequest {
    arrived_at: Timestamp,
    deadline: Timestamp,
    attempts: Vec<SimulatedAttempt>,
    /// Whether the request has its final answer.
    answered: bool,
}

/// An attempt that a gatekeeper sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub at: Timestamp,
    pub gatekeeper: usize,
    pub backend: u32,
}

/// Number of requests that arrived, and numbers of them that ended in a certain way.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    pub arrived: usize,
    /// Number of requests that were answered within the latency objective.
    pub answered_in_time: usize,
    pub rejected_or_failed: usize,
}

/// A time window that begins with an attempt sent to a backend in slow start.
struct SlowStartWindow {
    sent: f64,
    /// Number of attempts that the overload rule allows in the window.
    budget: f64,
}

/// A simulated fleet, with its event queue and a record of what it has done.
pub struct Fleet {
    pub now: Timestamp,
    settings: Settings,
    parameters: FleetParameters,
    gatekeepers: Vec<Policy>,
    pub backends: HashMap<u32, SimulatedBackend>,
    /// The requests of each gatekeeper by id.
    submitted: Vec<HashMap<u32, SubmittedRequest>>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    last_serial: u64,
    next_request_id: u32,
    rng: fastrand::Rng,
    counter_totals: HashMap<u64, f64>,
    pub sent_attempts: Vec<SentAttempt>,
    pub counts: RequestCounts,
    recorder: Recorder,
}

impl Fleet {
    pub fn new(parameters: FleetParameters) -> Self {
        let now = timestamp(1_000 * SECOND);
        let backend = SimulatedBackend {
            core_free_at: [Timestamp::ZERO; CORES],
            is_silent: false,
            started: Timestamp::ZERO,
        };
        let mut fleet = Self {
            now,
            settings: fleet_settings(&parameters),
            gatekeepers: Vec::new(),
            backends: (1..=parameters.backends).map(|id| (id, backend.clone())).collect(),
            submitted: (0..parameters.gatekeepers).map(|_| HashMap::new()).collect(),
            queue: BinaryHeap::new(),
            last_serial: 0,
            next_request_id: 0,
            rng: fastrand::Rng::with_seed(parameters.seed),
            counter_totals: HashMap::new(),
            sent_attempts: Vec::new(),
            counts: RequestCounts::default(),
            recorder: Recorder::new(),
            parameters,
        };
        for index in 0..fleet.parameters.gatekeepers {
            fleet.start_gatekeeper(index);
        }
        fleet
    }

    fn start_gatekeeper(&mut self, index: u32) {
        let settings = Settings { gatekeeper_index: index, ..self.settings.clone() };
        let seed = self.rng.u64(..);
        self.gatekeepers.push(Policy::new(settings, seed, self.now).expect("usable settings"));
        let gatekeeper = index as usize;
        let entries = self.endpoint_list();
        self.feed(gatekeeper, Event::Endpoints { kind: ListKind::Cached, entries });
        let first_arrival = self.now + self.draw_interarrival_time(gatekeeper);
        self.schedule(first_arrival, SimulatedEvent::RequestArrives { gatekeeper });
    }

    /// The complete endpoint list, in order of ids.
    fn endpoint_list(&self) -> Vec<BackendEntry> {
        let entry = |(&id, backend): (&u32, &SimulatedBackend)| BackendEntry {
            id: BackendId(id),
            started: backend.started,
            ..Default::default()
        };
        let mut entries: Vec<_> = self.backends.iter().map(entry).collect();
        entries.sort_by_key(|entry| entry.id);
        entries
    }

    /// Replaces these backends by new ones that start now, sends every gatekeeper the new endpoint list, and
    /// returns the new ids.
    pub fn replace_backends(&mut self, ids: &[u32]) -> Vec<u32> {
        let last_id = self.backends.keys().max().copied().unwrap_or(0);
        let new_ids: Vec<u32> = (1..=ids.len() as u32).map(|offset| last_id + offset).collect();
        for (id, &new_id) in ids.iter().zip(&new_ids) {
            let mut backend = self.backends.remove(id).expect("the replaced backend is listed");
            backend.core_free_at = [Timestamp::ZERO; CORES];
            backend.started = self.now;
            self.backends.insert(new_id, backend);
        }
        for gatekeeper in 0..self.gatekeepers.len() {
            let entries = self.endpoint_list();
            self.feed(gatekeeper, Event::Endpoints { kind: ListKind::Full, entries });
        }
        new_ids
    }

    /// The share of its full capacity that a backend has at `now`. The share grows linearly, as slowly as the
    /// settings allow.
    fn capacity_share(&self, backend: &SimulatedBackend, now: Timestamp) -> f64 {
        if backend.started == Timestamp::ZERO {
            return 1.0;
        }
        let progress = (now - backend.started) as f64 / self.settings.slow_start_duration as f64;
        let initial_share = self.settings.slow_start_share;
        (initial_share + (1.0 - initial_share) * progress).min(1.0)
    }

    /// One window of length `overload_duration` for each attempt sent to a backend in slow start, beginning
    /// with that attempt.
    fn slow_start_windows(&self, id: u32) -> Vec<SlowStartWindow> {
        let backend = &self.backends[&id];
        let length = self.settings.overload_duration;
        let full_rate = 2.0 * SECOND as f64 / self.parameters.mean_work;
        let sent_at: Vec<Timestamp> =
            self.sent_attempts.iter().filter(|sent| sent.backend == id).map(|sent| sent.at).collect();
        let window = |(first, &start): (usize, &Timestamp)| {
            let sent = sent_at[first..].iter().take_while(|&&moment| moment < start + length).count() as f64;
            let allowed_share = self.settings.overload_factor * self.capacity_share(backend, start);
            SlowStartWindow { sent, budget: allowed_share * full_rate * length as f64 / SECOND as f64 }
        };
        sent_at
            .iter()
            .enumerate()
            .take_while(|&(_, &start)| self.capacity_share(backend, start) < 1.0)
            .map(window)
            .collect()
    }

    /// The largest number of attempts that the backend `id` was sent in any of its slow-start windows, as a
    /// fraction of the window's budget.
    pub fn max_slow_start_budget_fraction(&self, id: u32) -> f64 {
        self.slow_start_windows(id).into_iter().map(|window| window.sent / window.budget).fold(0.0, f64::max)
    }

    /// The largest number of attempts by which the backend `id` exceeded the budget N of any of its
    /// slow-start windows, as a multiple of the tolerance for random variation, 2 x sqrt(N) + 2.
    pub fn max_slow_start_budget_excess(&self, id: u32) -> f64 {
        let excess =
            |window: SlowStartWindow| (window.sent - window.budget) / (2.0 * window.budget.sqrt() + 2.0);
        self.slow_start_windows(id).into_iter().map(excess).fold(0.0, f64::max)
    }

    /// Number of backends that a gatekeeper has sent attempts to since a moment, as the mean over
    /// gatekeepers.
    pub fn mean_backends_used(&self, since: Timestamp) -> f64 {
        let pairs: HashSet<_> = self
            .sent_attempts
            .iter()
            .filter(|sent| sent.at >= since)
            .map(|sent| (sent.gatekeeper, sent.backend))
            .collect();
        pairs.len() as f64 / self.gatekeepers.len() as f64
    }

    /// Number of attempts sent to any of these backends.
    pub fn attempts_sent_to(&self, backends: &[u32]) -> usize {
        self.sent_attempts.iter().filter(|sent| backends.contains(&sent.backend)).count()
    }

    /// Processes all events up to and including `until`.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some(&Reverse(next)) = self.queue.peek()
            && next.at <= until
        {
            self.queue.pop();
            self.now = next.at;
            self.process(next.event);
        }
        self.now = until;
    }

    fn schedule(&mut self, at: Timestamp, event: SimulatedEvent) {
        self.last_serial += 1;
        self.queue.push(Reverse(ScheduledEvent { at, serial: self.last_serial, event }));
    }

    /// Draws the exponentially distributed time until the next request at a gatekeeper.
    fn draw_interarrival_time(&mut self, gatekeeper: usize) -> Micros {
        let weight =
            |index: usize| if index.is_multiple_of(10) { self.parameters.busy_traffic_factor } else { 1.0 };
        let total_weight: f64 = (0..self.parameters.gatekeepers as usize).map(weight).sum();
        let mean = total_weight / weight(gatekeeper) / self.parameters.request_rate * SECOND as f64;
        (-(1.0 - self.rng.f64()).ln() * mean) as Micros + 1
    }

    fn process(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::RequestArrives { gatekeeper } => self.submit_request(gatekeeper),
            SimulatedEvent::TimerExpires { gatekeeper, token } => {
                self.feed(gatekeeper, Event::Timer { token })
            }
            SimulatedEvent::AttemptServed { gatekeeper, id, attempt } => {
                self.end_attempt(gatekeeper, id, attempt, Outcome::Ok);
            }
            SimulatedEvent::AttemptTimesOut { gatekeeper, id, attempt } => {
                self.end_attempt(gatekeeper, id, attempt, Outcome::Timeout);
            }
            SimulatedEvent::CounterReplies { gatekeeper, name, added_units_bits } => {
                let total = self.counter_totals.entry(name).or_insert(0.0);
                *total += f64::from_bits(added_units_bits);
                let total = *total;
                let reply = Event::CounterReply { name, total, elapsed: COUNTER_DELAY, outcome: Outcome::Ok };
                self.feed(gatekeeper, reply);
            }
        }
    }

    fn submit_request(&mut self, gatekeeper: usize) {
        let id = self.next_request_id;
        let deadline = self.now + self.settings.classes[0].deadline;
        self.next_request_id += 1;
        self.counts.arrived += 1;
        self.submitted[gatekeeper].insert(
            id,
            SubmittedRequest { arrived_at: self.now, deadline, attempts: Vec::new(), answered: false },
        );
        let next_arrival = self.now + self.draw_interarrival_time(gatekeeper);
        self.schedule(next_arrival, SimulatedEvent::RequestArrives { gatekeeper });
        self.feed(
            gatekeeper,
            Event::Request {
                id: RequestId(id),
                class: 0,
                plan: 0,
                tenant: TenantId(u64::from(id % TENANTS)),
                time_left: deadline - self.now,
                tenant_gatekeepers: 4.0,
                units: 1.0,
                client_retry: false,
            },
        );
    }

    fn end_attempt(&mut self, gatekeeper: usize, id: u32, attempt: u8, outcome: Outcome) {
        let Some(request) = self.submitted[gatekeeper].get_mut(&id) else { return };
        let ending = &mut request.attempts[usize::from(attempt)];
        if std::mem::replace(&mut ending.ended, true) {
            return;
        }
        let (backend, elapsed) = (BackendId(ending.backend), self.now - ending.sent_at);
        if outcome == Outcome::Ok && !std::mem::replace(&mut request.answered, true) {
            let objective = self.settings.classes[0].latency_objective;
            self.counts.answered_in_time += usize::from(self.now <= request.arrived_at + objective);
        }
        let attempt_ended = Event::AttemptEnded {
            id: RequestId(id),
            attempt,
            backend,
            outcome,
            elapsed,
            units: 0.0,
            answered: request.answered,
            load: vec![],
        };
        self.feed(gatekeeper, attempt_ended);
    }

    fn feed(&mut self, gatekeeper: usize, event: Event) {
        let mut actions = Vec::new();
        self.gatekeepers[gatekeeper].handle(self.now, event, &mut actions);
        self.recorder.record(self.now, &actions);
        for action in actions {
            self.carry_out(gatekeeper, &action);
        }
    }

    fn carry_out(&mut self, gatekeeper: usize, action: &Action) {
        match *action {
            Action::Send { id, backend, .. } => self.send(gatekeeper, id.0, backend.0),
            Action::Reject { id, .. } | Action::Fail { id } => {
                let request = self.submitted[gatekeeper].get_mut(&id.0).expect("the request was submitted");
                assert!(!std::mem::replace(&mut request.answered, true), "request {id:?} was answered twice");
                self.counts.rejected_or_failed += 1;
            }
            Action::Timer { after, token } => {
                self.schedule(self.now + after, SimulatedEvent::TimerExpires { gatekeeper, token });
            }
            Action::CounterAdd { name, units, .. } => {
                let added_units_bits = units.to_bits();
                let reply = SimulatedEvent::CounterReplies { gatekeeper, name, added_units_bits };
                self.schedule(self.now + COUNTER_DELAY, reply);
            }
            _ => {}
        }
    }

    /// Sends an attempt, and schedules its answer or, if the answer would come too late, its timeout at the
    /// request's deadline.
    fn send(&mut self, gatekeeper: usize, id: u32, backend: u32) {
        self.sent_attempts.push(SentAttempt { at: self.now, gatekeeper, backend });
        let request = self.submitted[gatekeeper].get_mut(&id).expect("the request was submitted");
        let attempt = request.attempts.len() as u8;
        let deadline = request.deadline;
        request.attempts.push(SimulatedAttempt { backend, sent_at: self.now, ended: false });
        let work = -(1.0 - self.rng.f64()).ln() * self.parameters.mean_work;
        let served_at = self.enqueue(backend, work);
        if served_at < deadline {
            self.schedule(served_at, SimulatedEvent::AttemptServed { gatekeeper, id, attempt });
        } else {
            self.schedule(deadline, SimulatedEvent::AttemptTimesOut { gatekeeper, id, attempt });
        }
    }

    /// Adds work to the queue of a backend's less busy core. Returns the time at which the work will be done,
    /// or [`Timestamp::MAX`] if the backend is silent or removed.
    fn enqueue(&mut self, id: u32, work: f64) -> Timestamp {
        let Some(backend) = self.backends.get(&id).filter(|backend| !backend.is_silent) else {
            return Timestamp::MAX;
        };
        let service_time = (work / self.capacity_share(backend, self.now)) as Micros;
        let core_free_at = &mut self.backends.get_mut(&id).expect("found above").core_free_at;
        let core = usize::from(core_free_at[1] < core_free_at[0]);
        core_free_at[core] = core_free_at[core].max(self.now) + service_time;
        core_free_at[core]
    }
}

/// The settings that all gatekeepers of a fleet share.
fn fleet_settings(parameters: &FleetParameters) -> Settings {
    let class = RequestClass {
        latency_objective: 1_500 * MS,
        deadline: 6 * SECOND,
        idempotency: Idempotency::Idempotent,
        ..RequestClass::default()
    };
    Settings {
        gatekeepers: parameters.gatekeepers,
        classes: vec![class],
        plans: vec![Plan::default()],
        max_attempts: 6,
        hedging: true,
        slow_start_share: 0.16,
        slow_start_duration: 17 * SECOND,
        overload_factor: parameters.overload_factor,
        overload_duration: 1_500 * MS,
        shared_counter: true,
        counter_timeout: 30 * MS,
        max_cost: 8.0,
        ..Settings::default()
    }
}
