//! Simulation of one tenant whose requests arrive at several gatekeepers, which learn of each other's spend
//! only through the shared counter. Compares their decisions with the exact level of the tenant's bucket. All
//! randomness comes from fixed seeds.

mod common;
use common::*;
use policy::Policy;
use policy::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

const PLAN: Plan = Plan {
    rate: 10.0,
    burst: 40.0,
    max_in_flight: 0,
    ceiling_rate: 0.0,
    ceiling_burst: 0.0,
    priority_factor: 1.0,
    beyond_quota_reward_fraction: 0.0,
    beyond_quota_penalty_fraction: 1.0,
};

/// Mean cost of a request; costs are uniformly distributed from 1 to 5 units.
const MEAN_UNITS: f64 = 3.0;
/// One-way network delay of a counter call.
const COUNTER_DELAY: Micros = 2 * MS;
/// An active span at least as long as any run, so that the tenant never pauses.
const WITHOUT_PAUSES: Micros = 100 * SECOND;

/// Parameters of a run: the gatekeepers, the tenant's plan and traffic, and faults.
#[derive(Clone)]
struct Scenario {
    gatekeepers: u32,
    /// Time at which all gatekeepers start.
    start: Timestamp,
    /// Upper bound of the random addition to [`COUNTER_DELAY`].
    max_jitter: Micros,
    plan: Plan,
    seed: u64,
    /// Units requested per second while the tenant is active.
    demand: f64,
    /// The tenant is active for this span, then pauses for the same span, and so on.
    active_span: Micros,
    length: Micros,
    /// The shared counter loses its totals this long after the start.
    counter_reset_after: Option<Micros>,
    /// Rate and burst of the plan are halved this long after the start.
    plan_halved_after: Option<Micros>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            gatekeepers: 4,
            start: timestamp(1_000 * SECOND),
            max_jitter: 0,
            plan: PLAN,
            seed: 0,
            demand: PLAN.rate,
            active_span: WITHOUT_PAUSES,
            length: 100 * SECOND,
            counter_reset_after: None,
            plan_halved_after: None,
        }
    }
}

/// An event of the simulation. `gatekeeper` is an index. Initial events at the same moment are processed in
/// the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    RequestArrives,
    TimerExpires { gatekeeper: usize, token: u64 },
    CounterCallArrives { gatekeeper: usize, name: u64, units_bits: u64 },
    CounterReplyArrives { gatekeeper: usize, name: u64, total_bits: u64 },
    CounterLosesTotals,
    PlanIsHalved,
}

/// An event in the queue. Events at the same moment are processed in the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Timestamp,
    /// Number of the event in order of scheduling, from 1; 0 for events that are scheduled before the run.
    serial: u64,
    event: SimulatedEvent,
}

/// The tenant's bucket as a single gatekeeper that handles all requests would keep it, with counts of how far
/// the decisions deviate from it.
#[derive(Default)]
struct ExactBucket {
    level: f64,
    refilled_at: Timestamp,
    admitted_units: f64,
    /// Units admitted although the bucket did not hold them.
    units_beyond_quota: f64,
    requests: usize,
    /// Requests rejected while the bucket was at least half full.
    rejected_at_half: usize,
    counter_calls: usize,
}

impl ExactBucket {
    fn refill(&mut self, plan: &Plan, now: Timestamp) {
        self.level = (self.level + plan.rate * (now - self.refilled_at) as f64 / 1e6).min(plan.burst);
        self.refilled_at = now;
    }

    fn admit(&mut self, units: f64) {
        self.admitted_units += units;
        if self.level >= units {
            self.level -= units;
        } else {
            self.units_beyond_quota += units;
        }
    }

    fn share_beyond_quota(&self) -> f64 {
        self.units_beyond_quota / self.admitted_units
    }

    fn share_rejected_at_half(&self) -> f64 {
        self.rejected_at_half as f64 / self.requests as f64
    }

    fn calls_per_request(&self) -> f64 {
        self.counter_calls as f64 / self.requests as f64
    }
}

/// A run of a [`Scenario`].
struct Simulation {
    scenario: Scenario,
    /// The tenant's current plan.
    plan: Plan,
    settings: Settings,
    now: Timestamp,
    rng: fastrand::Rng,
    gatekeepers: Vec<Policy>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    last_serial: u64,
    counter_totals: HashMap<u64, f64>,
    /// The units of requests that have no answer yet, by id.
    open_requests: HashMap<u32, f64>,
    last_request_id: u32,
    /// The gatekeeper at which most of the tenant's requests currently arrive.
    preferred_gatekeeper: usize,
    exact: ExactBucket,
    recorder: Recorder,
}

impl Simulation {
    /// Runs a scenario to its end.
    fn run(scenario: Scenario) -> ExactBucket {
        let mut simulation = Self::new(scenario);
        let end = simulation.scenario.start + simulation.scenario.length;
        while let Some(Reverse(next)) = simulation.queue.pop().filter(|next| next.0.at < end) {
            simulation.now = next.at;
            simulation.process(next.event);
        }
        simulation.exact
    }

    fn new(scenario: Scenario) -> Self {
        let settings = Settings {
            gatekeepers: scenario.gatekeepers,
            plans: vec![scenario.plan.clone()],
            max_cost: 8.0,
            counter_timeout: 30 * MS,
            ..settings()
        };
        let exact =
            ExactBucket { level: scenario.plan.burst, refilled_at: scenario.start, ..ExactBucket::default() };
        let mut simulation = Self {
            plan: scenario.plan.clone(),
            settings,
            now: scenario.start,
            rng: fastrand::Rng::with_seed(scenario.seed),
            gatekeepers: Vec::new(),
            queue: BinaryHeap::new(),
            last_serial: 0,
            counter_totals: HashMap::new(),
            open_requests: HashMap::new(),
            last_request_id: 0,
            preferred_gatekeeper: 0,
            exact,
            recorder: Recorder::new(),
            scenario,
        };
        for index in 0..simulation.scenario.gatekeepers {
            simulation.start_gatekeeper(index);
        }
        simulation.schedule_initially(0, SimulatedEvent::RequestArrives);
        if let Some(after) = simulation.scenario.plan_halved_after {
            simulation.schedule_initially(after, SimulatedEvent::PlanIsHalved);
        }
        if let Some(after) = simulation.scenario.counter_reset_after {
            simulation.schedule_initially(after, SimulatedEvent::CounterLosesTotals);
        }
        simulation
    }

    fn start_gatekeeper(&mut self, index: u32) {
        let settings = Settings { gatekeeper_index: index, ..self.settings.clone() };
        let mut policy = Policy::new(settings, self.rng.u64(..), self.now).expect("usable settings");
        let mut actions = Vec::new();
        let endpoints = Event::Endpoints { kind: ListKind::Full, entries: backends(20) };
        policy.handle(self.now, endpoints, &mut actions);
        assert!(matches!(actions[..], [Action::Timer { .. }]), "the timer for periodic work");
        let timer = SimulatedEvent::TimerExpires { gatekeeper: index as usize, token: 0 };
        self.schedule_initially(u64::from(index), timer);
        self.gatekeepers.push(policy);
    }

    fn schedule_initially(&mut self, after: Micros, event: SimulatedEvent) {
        self.queue.push(Reverse(ScheduledEvent { at: self.now + after, serial: 0, event }));
    }

    fn schedule(&mut self, after: Micros, event: SimulatedEvent) {
        self.last_serial += 1;
        self.queue.push(Reverse(ScheduledEvent { at: self.now + after, serial: self.last_serial, event }));
    }

    fn draw_counter_delay(&mut self) -> Micros {
        let max_jitter = self.scenario.max_jitter;
        COUNTER_DELAY + if max_jitter > 0 { self.rng.u64(..max_jitter) } else { 0 }
    }

    fn process(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::RequestArrives => self.submit_request(),
            SimulatedEvent::TimerExpires { gatekeeper, token } => {
                self.feed(gatekeeper, Event::Timer { token })
            }
            SimulatedEvent::CounterCallArrives { gatekeeper, name, units_bits } => {
                let total = self.counter_totals.entry(name).or_insert(0.0);
                *total += f64::from_bits(units_bits);
                let total_bits = total.to_bits();
                let delay = self.draw_counter_delay();
                self.schedule(delay, SimulatedEvent::CounterReplyArrives { gatekeeper, name, total_bits });
            }
            SimulatedEvent::CounterReplyArrives { gatekeeper, name, total_bits } => {
                let total = f64::from_bits(total_bits);
                let elapsed = 2 * COUNTER_DELAY;
                self.feed(gatekeeper, Event::CounterReply { name, total, elapsed, outcome: Outcome::Ok });
            }
            SimulatedEvent::CounterLosesTotals => self.counter_totals.clear(),
            SimulatedEvent::PlanIsHalved => self.halve_plan(),
        }
    }

    /// Submits a request, unless the tenant pauses, and schedules the arrival of the next one.
    fn submit_request(&mut self) {
        let mean_gap = MEAN_UNITS * 1e6 / self.scenario.demand;
        let gap = (mean_gap * -(1.0 - self.rng.f64()).ln()) as Micros;
        self.schedule(gap, SimulatedEvent::RequestArrives);
        let is_pause = (self.now - self.scenario.start) / self.scenario.active_span % 2 == 1;
        if is_pause {
            return;
        }
        let gatekeeper = self.draw_gatekeeper();
        let units = f64::from(self.rng.u8(1..=5));
        self.last_request_id += 1;
        self.open_requests.insert(self.last_request_id, units);
        self.exact.requests += 1;
        let request = RequestEvent {
            id: self.last_request_id,
            tenant_gatekeepers: self.gatekeepers.len() as f64,
            units,
            ..RequestEvent::default()
        };
        self.feed(gatekeeper, request.into());
    }

    /// Draws the gatekeeper for a request. Most of the tenant's requests arrive at one gatekeeper, which
    /// changes at random.
    fn draw_gatekeeper(&mut self) -> usize {
        let count = self.gatekeepers.len();
        if self.rng.u8(..) < 4 {
            self.preferred_gatekeeper = self.rng.usize(..count);
        }
        if self.rng.bool() { self.preferred_gatekeeper } else { self.rng.usize(..count) }
    }

    fn halve_plan(&mut self) {
        self.exact.refill(&self.plan, self.now);
        self.plan = Plan { rate: self.plan.rate / 2.0, burst: self.plan.burst / 2.0, ..self.plan.clone() };
        for (index, policy) in self.gatekeepers.iter_mut().enumerate() {
            let settings = Settings {
                gatekeeper_index: index as u32,
                plans: vec![self.plan.clone()],
                ..self.settings.clone()
            };
            policy.update_settings(settings).expect("usable settings");
        }
    }

    fn feed(&mut self, gatekeeper: usize, event: Event) {
        for action in self.handle(gatekeeper, event) {
            self.carry_out(gatekeeper, &action);
        }
    }

    fn handle(&mut self, gatekeeper: usize, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gatekeepers[gatekeeper].handle(self.now, event, &mut actions);
        self.recorder.record(self.now, &actions);
        actions
    }

    fn carry_out(&mut self, gatekeeper: usize, action: &Action) {
        match *action {
            Action::Timer { after, token } => {
                self.schedule(after, SimulatedEvent::TimerExpires { gatekeeper, token });
            }
            Action::CounterAdd { name, units, .. } => {
                self.exact.counter_calls += 1;
                let delay = self.draw_counter_delay();
                let units_bits = units.to_bits();
                self.schedule(delay, SimulatedEvent::CounterCallArrives { gatekeeper, name, units_bits });
            }
            Action::Send { id, backend, .. } => {
                let Some(units) = self.open_requests.remove(&id.0) else { return };
                self.exact.refill(&self.plan, self.now);
                self.exact.admit(units);
                // The attempt is served at once. Actions that follow from its end are not carried out.
                self.handle(gatekeeper, attempt_ended(id.0, 0, backend.0, Outcome::Ok));
            }
            Action::Reject { id, .. } if self.open_requests.remove(&id.0).is_some() => {
                self.exact.refill(&self.plan, self.now);
                self.exact.rejected_at_half += usize::from(self.exact.level >= self.plan.burst / 2.0);
            }
            _ => {}
        }
    }
}

/// Regression: each gatekeeper added up differences of totals. These included the refill while the bucket was
/// full, so a gatekeeper that had not called for ten seconds believed a bucket to be full that others had
/// just emptied. 2 to 5 percent of the units were admitted beyond the quota, and the bucket held too little
/// afterwards.
#[test]
fn a_total_tells_what_is_left_however_long_ago_the_last_one_was() {
    for seed in 0..6 {
        for (demand, active_span) in
            [(4.0, WITHOUT_PAUSES), (12.0, 3 * SECOND), (40.0, 4 * SECOND), (30.0, WITHOUT_PAUSES)]
        {
            let case = format!("seed {seed}, {demand} units a second");

            let exact = Simulation::run(Scenario { seed, demand, active_span, ..Scenario::default() });

            // Each active span costs some precision, because gatekeepers notice it only after it has begun.
            let max_share_beyond_quota = if active_span < WITHOUT_PAUSES { 0.09 } else { 0.016 };
            let beyond_quota = exact.share_beyond_quota();
            assert!(
                beyond_quota < max_share_beyond_quota,
                "{case}: {beyond_quota:.3} of the units beyond the quota"
            );
            let rejected = exact.share_rejected_at_half();
            assert!(rejected < 0.002, "{case}: {rejected:.3} rejected with half a bucket");
            // Regression: a tenant far beyond its quota cost a call for almost every request, though no total
            // could have admitted it.
            let calls = exact.calls_per_request();
            assert!(demand < 30.0 || calls < 1.0, "{case}: {calls:.2} calls a request");
        }
    }
}

/// Regression: gatekeepers that start together in the middle of an epoch all read a total of zero, and each
/// adds the refill since the start of the epoch to the count, as overflow of a full bucket. Until all but one
/// of them have subtracted these units again, the total shows a debt of many bursts. A gatekeeper that read
/// such a total rejected requests for as long as the debt took to refill, without reading the total again.
/// Six gatekeepers rejected a tenant that used a tenth of its quota, some of them for half a minute.
#[test]
fn gatekeepers_that_start_at_once_do_not_starve_a_tenant() {
    for seed in 0..6 {
        for (gatekeepers, rate, burst) in [(6, 20.0, 40.0), (6, 400.0, 800.0), (10, 400.0, 800.0)] {
            let exact = Simulation::run(Scenario {
                gatekeepers,
                start: timestamp(1_000 * SECOND + seed * 5 * SECOND),
                max_jitter: 30 * MS,
                plan: Plan { rate, burst, ..PLAN },
                seed,
                demand: rate / 2.0,
                length: 25 * SECOND,
                ..Scenario::default()
            });

            let rejected = exact.share_rejected_at_half();
            // Worst shares with six and with ten gatekeepers: 0.145 and more if debts of any size count;
            // 0.009 and 0.069 if debts count up to a quarter of the burst; 0.009 and 0.056 if a larger debt
            // also does not change the estimated rate of spend; 0.009 and 0.013 if, in addition, gatekeepers
            // that subtract overflow again are not mistaken for a counter that lost its totals.
            assert!(
                rejected < 0.02,
                "seed {seed}, {gatekeepers} gatekeepers, {rate} units a second: {rejected:.3}"
            );
        }
    }
}

/// Regression: gatekeepers add the overflow of the epoch once more to a counter that lost its totals, each
/// before it has seen the units that others add. Two gatekeepers that did so at the same time mistook each
/// other's overflow for spend, that is, a debt of ten bursts and more, and waited for the debt to refill
/// without reading the total again. Under injected faults, two of twelve gatekeepers rejected a tenant that
/// used a quarter of its quota for 36 s.
#[test]
fn a_counter_that_comes_back_empty_starves_no_tenant() {
    for seed in 0..24 {
        let exact = Simulation::run(Scenario {
            gatekeepers: 12,
            start: timestamp(1_000 * SECOND + seed * 3 * SECOND),
            max_jitter: 15 * MS,
            plan: Plan { rate: 400.0, burst: 800.0, ..PLAN },
            seed,
            demand: 100.0,
            length: 45 * SECOND,
            counter_reset_after: Some(3 * SECOND + seed * 400 * MS),
            ..Scenario::default()
        });

        let rejected = exact.share_rejected_at_half();
        assert!(rejected < 0.02, "seed {seed}: {rejected:.3}");
    }
}

/// Regression: the refill since the start of an epoch is computed with the rate in force now. After a plan
/// was halved in the middle of an epoch, the refill at the earlier rate looked like a debt, and the tenant
/// was rejected until the next epoch, up to 30 s.
#[test]
fn a_plan_that_is_halved_during_an_epoch_starves_no_tenant() {
    for seed in 0..12 {
        let exact = Simulation::run(Scenario {
            gatekeepers: 6,
            start: timestamp(1_000 * SECOND + seed * 3 * SECOND),
            max_jitter: 15 * MS,
            plan: Plan { rate: 40.0, burst: 80.0, ..PLAN },
            seed,
            demand: 8.0,
            length: 40 * SECOND,
            plan_halved_after: Some(7 * SECOND + seed * 900 * MS),
            ..Scenario::default()
        });

        let rejected = exact.share_rejected_at_half();
        assert!(rejected < 0.02, "seed {seed}: {rejected:.3}");
    }
}
