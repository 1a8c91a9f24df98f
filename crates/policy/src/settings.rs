//! Settings of the state machine: request classes, plans, limits and timings.

use crate::time::Micros;
use thiserror::Error;

/// Whether the requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A request may be executed any number of times.
    Idempotent,
    /// Requests carry an idempotency key; backends of one [`DedupScope`] drop duplicates within
    /// [`RequestClass::idempotency_key_ttl`].
    Keyed,
    /// A request must never be executed twice, so it is retried only if no earlier attempt can have run.
    NonIdempotent,
}

/// The group of backends that share idempotency keys: each backend drops duplicates of requests that another
/// backend of the group received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends share idempotency keys.
    All,
    /// The backends of one zone share idempotency keys.
    Zone,
    /// The backends of one cell of a zone share idempotency keys.
    Cell,
}

/// A class of requests that share a deadline, a priority and rules for retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency up to which an answer earns the full weight of its request.
    pub latency_objective: Micros,
    /// Longest time that a client of this class waits for an answer.
    pub deadline: Micros,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// Group of backends within which duplicates are dropped; used with [`Idempotency::Keyed`] only.
    pub dedup_scope: DedupScope,
    /// Time for which backends drop duplicates, from the first attempt that may have run.
    pub idempotency_key_ttl: Micros,
    /// Weight of one unit of this class relative to other classes; finite and at least 0.
    pub priority_weight: f64,
    /// Whether backends stream the answers of this class.
    pub streaming: bool,
    /// Number of the service that serves the class; backends of other services never get its requests.
    pub service: u16,
    /// Largest number of attempts of one request of this class, if below [`Settings::max_attempts`]; 0 means
    /// [`Settings::max_attempts`].
    pub max_attempts: u32,
    /// Time after which an attempt is given up; 0 means at the client's deadline.
    pub attempt_timeout: Micros,
    /// Time after which a hedged request is considered; 0 means after a fraction of the latency objective.
    pub hedge_after: Micros,
}

/// A plan: the quotas of each of its tenants, over all gatekeepers together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Refill rate of a tenant's token bucket in units a second; 0 means that no bucket limits the tenant.
    pub rate: f64,
    /// Capacity of a tenant's token bucket in units. The bucket starts full.
    pub burst: f64,
    /// Largest number of a tenant's attempts in flight at once; 0 means no limit.
    pub max_in_flight: u32,
    /// Rate of a tenant's hard ceiling in units a second; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket in units.
    pub ceiling_burst: f64,
    /// Factor by which [`RequestClass::priority_weight`] is multiplied for requests of this plan.
    pub priority_factor: f64,
    /// Fraction of its weight that a request forwarded beyond the quota earns.
    pub beyond_quota_reward_fraction: f64,
    /// Fraction of its weight that a request forwarded beyond the quota loses.
    pub beyond_quota_penalty_fraction: f64,
}

/// Meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Number of requests in flight.
    InFlight,
    /// Number of queued requests.
    Queued,
    /// Fraction of the processor that is busy.
    Cpu,
    /// Recent service time in milliseconds.
    ServiceTimeMillis,
    /// Requests served a second.
    Throughput,
    /// A value that the state machine does not use.
    Other,
}

/// How load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// Backends report no load.
    Off,
    /// Backends report load with answers and with health checks.
    Inline,
    /// Backends report load with health checks only.
    OnHealthCheck,
}

/// Settings of one state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gatekeepers in this tier; at least 1.
    pub gatekeepers: u32,
    /// Number of this gatekeeper, from 0.
    pub gatekeeper_index: u32,
    /// Number of the zone of this gatekeeper, comparable with
    /// [`BackendEntry::zone`](crate::BackendEntry::zone).
    pub zone: u8,
    /// Shortest time between two deliveries of events to the state machine.
    pub tick: Micros,
    /// Request classes; a request names its class by index.
    pub classes: Vec<RequestClass>,
    /// Plans; a request names the plan of its tenant by index.
    pub plans: Vec<Plan>,
    /// Largest number of attempts of one request; [`RequestClass::max_attempts`] may set a lower one.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Whether active health checks are allowed.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Longest Retry-After that a rejection may carry; 0 means that rejections carry no Retry-After.
    pub max_retry_after: Micros,
    /// Time within which a connection must be established, or else counts as failed.
    pub connect_timeout: Micros,
    /// Whether the endpoint list arrives only when the state machine asks for it with
    /// [`Action::PollEndpoints`](crate::Action::PollEndpoints).
    pub polls_endpoints: bool,
    /// Time after the last poll of the endpoint list at which a gatekeeper counts as notified of the list's
    /// current state, even if it has not polled again. The state machine polls twice in this time.
    pub poll_interval: Micros,
    /// Whether backends report their load, and with which answers.
    pub load_reporting: LoadReporting,
    /// Meanings of the values in a load report, in the order of the values.
    pub load_metrics: Vec<LoadMetric>,
    /// Smallest fraction of its full capacity that a backend has when it starts; above 0, at most 1.
    pub slow_start_share: f64,
    /// Longest time from the start of a backend until it has its full capacity.
    pub slow_start_duration: Micros,
    /// Load that a backend in slow start withstands, as a multiple of its current capacity. A backend with
    /// more load than that for [`Settings::overload_duration`] becomes overloaded and fails.
    pub overload_factor: f64,
    /// Time after which an excess over [`Settings::overload_factor`] makes a backend in slow start fail.
    pub overload_duration: Micros,
    /// Time within which requests at a draining backend must end.
    pub drain_grace: Micros,
    /// Whether a quota counter, which all gatekeepers share, may be called.
    pub shared_counter: bool,
    /// Time after which a call to the counter is given up.
    pub counter_timeout: Micros,
    /// Whether the cost of a request is an estimate that its answer corrects.
    pub estimated_costs: bool,
    /// Largest cost of one request in units.
    pub max_cost: f64,
    /// Cost of an attempt to a backend in another zone, as a fraction of the weight of the request.
    pub cross_zone_cost: f64,
    /// Whether backends get requests in proportion to their sizes.
    pub weighted_backends: bool,
}

/// The first setting found to be out of its range, and the violated condition.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("setting `{setting}` {problem}")]
pub struct SettingsError {
    setting: &'static str,
    problem: &'static str,
}

impl SettingsError {
    /// The invalid setting by the name that operators know, which may differ from the field name.
    pub fn setting(&self) -> &'static str {
        self.setting
    }
}

impl Default for RequestClass {
    /// An idempotent class with a deadline of one second.
    fn default() -> Self {
        Self {
            latency_objective: 500_000,
            deadline: 1_000_000,
            idempotency: Idempotency::Idempotent,
            dedup_scope: DedupScope::Cell,
            idempotency_key_ttl: 0,
            priority_weight: 1.0,
            streaming: false,
            service: 0,
            max_attempts: 0,
            attempt_timeout: 0,
            hedge_after: 0,
        }
    }
}

impl Default for Plan {
    /// A plan without quotas.
    fn default() -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            max_in_flight: 0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            priority_factor: 1.0,
            beyond_quota_reward_fraction: 0.0,
            beyond_quota_penalty_fraction: 0.0,
        }
    }
}

impl Plan {
    fn is_valid(&self) -> bool {
        [
            self.rate,
            self.burst,
            self.ceiling_rate,
            self.ceiling_burst,
            self.priority_factor,
            self.beyond_quota_reward_fraction,
            self.beyond_quota_penalty_fraction,
        ]
        .into_iter()
        .all(is_finite_and_non_negative)
    }
}

impl Default for Settings {
    /// One gatekeeper on its own: no counter, no health checks, no load reports, backends always warm, no
    /// class yet.
    fn default() -> Self {
        Self {
            gatekeepers: 1,
            gatekeeper_index: 0,
            zone: 0,
            tick: 1_000,
            classes: Vec::new(),
            plans: Vec::new(),
            max_attempts: 3,
            hedging: false,
            health_checks: false,
            cancellation: false,
            max_retry_after: 0,
            connect_timeout: 250_000,
            polls_endpoints: false,
            poll_interval: 10_000_000,
            load_reporting: LoadReporting::Off,
            load_metrics: Vec::new(),
            slow_start_share: 1.0,
            slow_start_duration: 0,
            overload_factor: 2.0,
            overload_duration: 1_000_000,
            drain_grace: 0,
            shared_counter: false,
            counter_timeout: 50_000,
            estimated_costs: false,
            max_cost: 1.0,
            cross_zone_cost: 0.0,
            weighted_backends: false,
        }
    }
}

impl Settings {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting found to be out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_gatekeepers()?;
        self.validate_classes_and_plans()?;
        self.validate_limits()
    }

    fn validate_gatekeepers(&self) -> Result<(), SettingsError> {
        require(self.gatekeepers > 0, "gateways", "must be at least 1")?;
        require(self.gatekeeper_index < self.gatekeepers, "me", "must be below the number of gateways")?;
        require(self.tick > 0, "tick", "must be above 0")
    }

    fn validate_classes_and_plans(&self) -> Result<(), SettingsError> {
        let classes = &self.classes;
        require(!classes.is_empty(), "classes", "must not be empty")?;
        let have_positive_times =
            classes.iter().all(|class| class.latency_objective > 0 && class.deadline > 0);
        require(have_positive_times, "classes", "must each have a goal time and a deadline above 0")?;
        let have_valid_weights =
            classes.iter().all(|class| is_finite_and_non_negative(class.priority_weight));
        require(have_valid_weights, "classes", "must each have a finite worth of at least 0")?;
        require(self.plans.iter().all(Plan::is_valid), "plans", "must have finite numbers of at least 0 only")
    }

    fn validate_limits(&self) -> Result<(), SettingsError> {
        require(self.max_attempts > 0, "max_attempts", "must be at least 1")?;
        let share = self.slow_start_share;
        require(share > 0.0 && share <= 1.0, "cold_share", "must be above 0 and at most 1")?;
        let factor = self.overload_factor;
        require(factor.is_finite() && factor > 0.0, "overload_factor", "must be above 0")?;
        require(self.overload_duration > 0, "fall_span", "must be above 0")?;
        let costs = [self.max_cost, self.cross_zone_cost];
        let are_valid_costs = costs.into_iter().all(is_finite_and_non_negative);
        require(are_valid_costs, "largest", "must be a finite number of at least 0")
    }
}

/// Returns an error about a setting unless `holds` is true. `setting` is the name that operators know, not
/// the field name.
fn require(holds: bool, setting: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    if holds { Ok(()) } else { Err(SettingsError { setting, problem }) }
}

fn is_finite_and_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
