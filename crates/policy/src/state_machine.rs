//! The state machine: its state, and the entry point that hands each event to the module that decides.

use crate::action::Action;
use crate::event::{Event, ListKind, Outcome};
use crate::ids::{BackendId, RequestId, TenantId};
use crate::latency_trend::LatencyTrend;
use crate::settings::{Plan, Settings, SettingsError};
use crate::start_times::StartTimes;
use crate::state::{Backend, BackendPool, ClassStats, CounterHealth, Request, TenantBucket};
use crate::time::{Micros, SECOND, Timestamp};
use crate::timer_token::TOKEN_TICK;
use std::collections::{BTreeMap, BTreeSet};

/// Part of the latency objective that is assumed as the mean latency before any answer.
const INITIAL_LATENCY_PART: f64 = 0.2;

/// Actions in the order in which they are to be carried out.
pub(crate) type Actions = Vec<Action>;

/// The decisions of one gatekeeper. No clock, thread, I/O or global: the same events give the same actions.
#[derive(Debug)]
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Timestamp,
    pub(crate) started_at: Timestamp,
    ticking: bool,
    pub(crate) tenants: BTreeMap<TenantId, TenantBucket>,
    /// Tenants with spend that the counter has not been told.
    pub(crate) unreported_tenants: BTreeSet<TenantId>,
    /// Counter calls in flight, by the name of the count.
    pub(crate) counter_calls: BTreeMap<u64, TenantId>,
    pub(crate) counter: CounterHealth,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) latency_trend: LatencyTrend,
    pub(crate) class_stats: Vec<ClassStats>,
    /// The largest weight that a request can have.
    pub(crate) max_weight: f64,
    /// Retries and hedged requests that may be sent now.
    pub(crate) retry_budget: f64,
    pub(crate) next_poll: Timestamp,
    /// The pool of the active service; the pools of all others are at their places in `pools`.
    pub(crate) pool: BackendPool,
    active_service: u16,
    pub(crate) pools: Vec<BackendPool>,
    /// Backends that operators have ejected, on the list or not.
    pub(crate) operator_ejections: BTreeSet<BackendId>,
    pub(crate) start_times: StartTimes,
}

impl Policy {
    /// A state machine that knows nothing but its settings.
    ///
    /// # Errors
    ///
    /// Returns what [`Settings::validate`] finds.
    pub fn new(mut settings: Settings, seed: u64, now: Timestamp) -> Result<Self, SettingsError> {
        settings.validate()?;
        settings.max_cost = settings.max_cost.max(1.0);
        // The last plan stands for any unknown one: no quota is known for it.
        settings.plans.push(Plan::default());
        let pools = new_pools(&settings, now);
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now,
            started_at: now,
            ticking: false,
            tenants: BTreeMap::new(),
            unreported_tenants: BTreeSet::new(),
            counter_calls: BTreeMap::new(),
            counter: CounterHealth::new(&settings, seed, now),
            backends: BTreeMap::new(),
            requests: BTreeMap::new(),
            latency_trend: LatencyTrend::new(now),
            class_stats: settings
                .classes
                .iter()
                .map(|class| new_class_stats(class.latency_objective))
                .collect(),
            max_weight: max_weight(&settings),
            retry_budget: Self::MAX_RETRY_BUDGET / 2.0,
            next_poll: now,
            pool: pools[0].clone(),
            active_service: 0,
            pools,
            operator_ejections: BTreeSet::new(),
            start_times: StartTimes::default(),
            settings,
        })
    }

    /// Applies one event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.ticking {
            self.ticking = true;
            out.push(Action::Timer { after: Self::TICK, token: TOKEN_TICK });
        }
        match event {
            Event::Endpoints { kind: ListKind::Failed, .. } => self.next_poll = self.now + SECOND as Micros,
            Event::Endpoints { kind, entries } => self.on_endpoints(kind, entries),
            Event::OperatorEjection { backend, ejected } => self.on_operator_ejection(backend, ejected),
            Event::Request { id, class, plan, tenant, time_left, tenant_gatekeepers, units, .. } => {
                let request = self.new_request(class, plan, tenant, time_left, units);
                self.on_request(id, request, self.valid_gatekeepers(tenant_gatekeepers), out);
            }
            Event::StreamStarted { id, .. } => {
                self.requests.entry(id).and_modify(|request| request.streaming = true);
            }
            Event::AttemptEnded { id, attempt, outcome, elapsed, units, answered, .. } => {
                if answered {
                    self.close(id);
                }
                if outcome == Outcome::Ok {
                    self.settle(id, units);
                }
                self.on_attempt_ended(id, attempt, outcome, elapsed, out);
            }
            Event::ClientGone { id } => self.close(id),
            Event::Timer { token } => self.on_timer(token, out),
            Event::CounterReply { name, total, elapsed, outcome } => {
                let notice = self.counter.record(&self.settings, elapsed, outcome, self.now);
                out.extend(notice.map(Action::Log));
                self.on_counter_reply(name, total, outcome, out);
            }
            Event::HealthCheckEnded { .. } | Event::PeerMessage => {}
        }
    }

    /// This gatekeeper's clock was found to be so many microseconds ahead of the one that the fleet goes by. Times given to
    /// [`Policy::handle`] stay those of its own clock.
    pub fn set_clock_offset(&mut self, offset: i64) {
        self.start_times.set_clock_offset(offset);
    }

    /// Figures that cannot be are replaced by what the settings allow.
    fn new_request(&self, class: u16, plan: u32, tenant: TenantId, time_left: Micros, units: f64) -> Request {
        Request {
            class: usize::from(class).min(self.settings.classes.len() - 1),
            plan: (plan as usize).min(self.settings.plans.len() - 1),
            tenant,
            deadline: self.now.saturating_add(time_left),
            cost: if units.is_finite() && units > 0.0 { units } else { self.settings.max_cost },
            ..Request::default()
        }
    }

    fn valid_gatekeepers(&self, tenant_gatekeepers: f64) -> f64 {
        let all = f64::from(self.settings.gatekeepers);
        let is_valid = tenant_gatekeepers.is_finite() && tenant_gatekeepers >= 1.0;
        if is_valid { tenant_gatekeepers.min(all) } else { all }
    }

    /// Makes the pool of a service the active one. Each service has its capacity, limits and health of its own; the buckets of a
    /// tenant are one over all of them.
    pub(crate) fn activate_pool(&mut self, service: u16) {
        if service != self.active_service {
            std::mem::swap(&mut self.pool, &mut self.pools[usize::from(self.active_service)]);
            std::mem::swap(&mut self.pool, &mut self.pools[usize::from(service)]);
            self.active_service = service;
        }
    }

    /// Makes the pool of the service that serves this class the active one.
    pub(crate) fn activate_pool_of(&mut self, class: usize) {
        self.activate_pool(self.settings.classes[class].service);
    }

    pub(crate) fn active_service(&self) -> u16 {
        self.active_service
    }

    /// Numbers of all services.
    pub(crate) fn services(&self) -> std::ops::Range<u16> {
        0..self.pools.len() as u16
    }
}

fn new_class_stats(latency_objective: Micros) -> ClassStats {
    ClassStats { mean_latency: latency_objective as f64 * INITIAL_LATENCY_PART, largest_cost: 1.0 }
}

/// One pool for each service that a class names.
fn new_pools(settings: &Settings, now: Timestamp) -> Vec<BackendPool> {
    let objective = settings.classes.iter().map(|class| class.latency_objective).max().unwrap_or(1);
    let latency = objective as f64 * INITIAL_LATENCY_PART;
    let pool = BackendPool {
        measured_at: now,
        objective_part: Policy::EARLY_PART,
        mean_latency: latency,
        mean_attempt_time: latency,
        ..BackendPool::default()
    };
    let last_service = settings.classes.iter().map(|class| class.service).max().unwrap_or(0);
    vec![pool; usize::from(last_service) + 1]
}

/// The largest weight over all classes and plans.
fn max_weight(settings: &Settings) -> f64 {
    let class_weight = settings.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
    let plan_factor = settings.plans.iter().map(|plan| plan.priority_factor).fold(0.0, f64::max);
    class_weight * plan_factor
}
