//! The state machine: its parts, and the entry point that dispatches each event to a handler.

use crate::action::Action;
use crate::class_stats::{ClassStats, INITIAL_LATENCY_FRACTION};
use crate::counter_health::CounterHealth;
use crate::counter_sync::CounterSync;
use crate::endpoints::Backends;
use crate::event::{Event, ListKind, Outcome};
use crate::ids::{RequestId, TenantId};
use crate::latency_trend::LatencyTrend;
use crate::request::{Price, Request};
use crate::retry_budget::RetryBudget;
use crate::service_pool::ServicePool;
use crate::settings::{Plan, Settings, SettingsError};
use crate::tenant_quota::{CounterState, TenantQuota};
use crate::time::{Micros, SECOND, Timestamp};
use crate::timer_token::{TICK_INTERVAL, TOKEN_TICK};
use std::collections::BTreeMap;

/// Maximum number of tenants whose quotas are known at a time. Requests of further tenants are rejected.
pub(crate) const MAX_TENANTS: usize = 32_768;

/// Actions, in the order in which the driver carries them out.
pub(crate) type Actions = Vec<Action>;

/// The policy of one gatekeeper, as a deterministic state machine without clock, thread, I/O or global state:
/// the same settings, seed and events give the same actions.
#[derive(Debug)]
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Timestamp,
    pub(crate) started_at: Timestamp,
    tick_started: bool,
    pub(crate) tenants: BTreeMap<TenantId, TenantQuota>,
    pub(crate) counter: CounterSync,
    pub(crate) backends: Backends,
    /// The pool of each service, indexed by service number. A tenant's quota covers all services.
    pub(crate) pools: Vec<ServicePool>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) latency_trend: LatencyTrend,
    /// Latency and cost estimates, indexed by class.
    pub(crate) class_stats: Vec<ClassStats>,
    /// The largest weight that a request can have, over all classes and plans.
    pub(crate) max_weight: f64,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) next_poll: Timestamp,
}

impl Policy {
    /// Creates a state machine that knows no backends and no tenants yet. `seed` seeds its random choices.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Settings::validate`] if a setting is out of range.
    pub fn new(mut settings: Settings, seed: u64, now: Timestamp) -> Result<Self, SettingsError> {
        settings.validate()?;
        settings.max_cost = settings.max_cost.max(1.0);
        // The last plan stands for every plan number that is out of range, and has no quota.
        settings.plans.push(Plan::default());
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now,
            started_at: now,
            tick_started: false,
            tenants: BTreeMap::new(),
            counter: CounterSync::new(CounterHealth::new(&settings, seed, now)),
            backends: Backends::default(),
            pools: new_pools(&settings, now),
            requests: BTreeMap::new(),
            latency_trend: LatencyTrend::new(now),
            class_stats: settings.classes.iter().map(ClassStats::new).collect(),
            max_weight: max_weight(&settings),
            retry_budget: RetryBudget::new(),
            next_poll: now,
            settings,
        })
    }

    /// Handles one event at the time `now`, and appends the resulting actions to `out` in order. If `now` is
    /// before the time of an earlier event, the time of the earlier event applies.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.tick_started {
            self.tick_started = true;
            out.push(Action::Timer { after: TICK_INTERVAL, token: TOKEN_TICK });
        }
        match event {
            Event::Endpoints { kind: ListKind::Failed, .. } => self.next_poll = self.now + SECOND as Micros,
            Event::Endpoints { kind, entries } => self.on_endpoints(kind, entries),
            Event::OperatorEjection { backend, ejected } => self.on_operator_ejection(backend, ejected),
            Event::Request { id, class, plan, tenant, time_left, tenant_gatekeepers, units, .. } => {
                let request = self.new_request(class, plan, tenant, time_left, units);
                self.on_request(id, request, self.valid_gatekeeper_count(tenant_gatekeepers), out);
            }
            Event::StreamStarted { id, .. } => {
                self.requests.entry(id).and_modify(|request| request.streaming = true);
            }
            Event::AttemptEnded { id, attempt, outcome, elapsed, units, answered, .. } => {
                if answered {
                    self.mark_answered(id);
                }
                if outcome == Outcome::Ok {
                    self.settle_cost(id, units);
                }
                self.on_attempt_ended(id, attempt, outcome, elapsed, out);
            }
            Event::ClientGone { id } => self.mark_answered(id),
            Event::Timer { token } => self.on_timer(token, out),
            Event::CounterReply { name, total, elapsed, outcome } => {
                let notice = self.counter.health.record_call_end(&self.settings, elapsed, outcome, self.now);
                out.extend(notice.map(Action::Log));
                self.on_counter_reply(name, total, outcome, out);
            }
            Event::HealthCheckEnded { .. } | Event::PeerMessage => {}
        }
    }

    /// Sets by how many microseconds this gatekeeper's clock is ahead of the fleet's clock; negative if it is
    /// behind. Times passed to [`Policy::handle`] remain readings of this gatekeeper's own clock.
    pub fn set_clock_offset(&mut self, offset: i64) {
        self.backends.set_clock_offset(offset);
    }

    /// Creates a request. A class or plan number that is out of range becomes the last one, and an invalid
    /// cost the largest cost that the settings allow.
    fn new_request(&self, class: u16, plan: u32, tenant: TenantId, time_left: Micros, units: f64) -> Request {
        let cost = if units.is_finite() && units > 0.0 { units } else { self.settings.max_cost };
        Request {
            class: usize::from(class).min(self.settings.classes.len() - 1),
            plan: (plan as usize).min(self.settings.plans.len() - 1),
            tenant,
            deadline: self.now.saturating_add(time_left),
            price: Price { cost, ..Price::default() },
            ..Request::default()
        }
    }

    fn valid_gatekeeper_count(&self, tenant_gatekeepers: f64) -> f64 {
        let tier_size = f64::from(self.settings.gatekeepers);
        let is_valid = tenant_gatekeepers.is_finite() && tenant_gatekeepers >= 1.0;
        if is_valid { tenant_gatekeepers.min(tier_size) } else { tier_size }
    }

    /// The number of the service that serves this class.
    pub(crate) fn service_of(&self, class: usize) -> usize {
        usize::from(self.settings.classes[class].service)
    }

    /// The pool of the service that serves this class.
    pub(crate) fn pool_of(&self, class: usize) -> &ServicePool {
        &self.pools[self.service_of(class)]
    }

    /// Ratio of long-term to short-term p95 latency, each latency relative to the mean of its class. It is at
    /// most 1, and 1 until both estimates are valid.
    pub(crate) fn latency_ratio(&self) -> f64 {
        self.latency_trend.ratio(self.now).unwrap_or(1.0)
    }

    /// Whether the shared counter is enabled and answers.
    pub(crate) fn counter_state(&self) -> CounterState {
        let is_available = self.settings.shared_counter && !self.counter.health.is_silent();
        if is_available { CounterState::Available } else { CounterState::Unavailable }
    }

    /// Whether a tenant's quota is known or may be created.
    pub(crate) fn has_room_for(&self, tenant: TenantId) -> bool {
        self.tenants.len() < MAX_TENANTS || self.tenants.contains_key(&tenant)
    }

    /// Finds or creates a tenant's quota and refills it up to the present time.
    pub(crate) fn refilled_quota(
        &mut self,
        tenant: TenantId,
        plan: usize,
        gatekeepers: f64,
    ) -> &mut TenantQuota {
        let (now, settings) = (self.now, &self.settings);
        let age = now.seconds_since(self.started_at);
        let create = || TenantQuota::new(settings, plan, gatekeepers, age, now);
        let quota = self.tenants.entry(tenant).or_insert_with(create);
        quota.refill(settings, gatekeepers, now);
        quota
    }
}

/// Creates a pool for each service number up to the largest that a class names.
fn new_pools(settings: &Settings, now: Timestamp) -> Vec<ServicePool> {
    let largest_objective = settings.classes.iter().map(|class| class.latency_objective).max().unwrap_or(1);
    let pool = ServicePool::new(largest_objective as f64 * INITIAL_LATENCY_FRACTION, now);
    let last_service = settings.classes.iter().map(|class| class.service).max().unwrap_or(0);
    vec![pool; usize::from(last_service) + 1]
}

/// The largest weight over all classes and plans.
fn max_weight(settings: &Settings) -> f64 {
    let class_weight = settings.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
    let plan_factor = settings.plans.iter().map(|plan| plan.priority_factor).fold(0.0, f64::max);
    class_weight * plan_factor
}
