//! Settings of the state machine: request classes, plans, limits and timings.

use crate::time::Micros;
use thiserror::Error;

/// What a second execution of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating is harmless.
    Idempotent,
    /// Carries an idempotency key; backends of one [`DedupScope`] drop duplicates for a while.
    Keyed,
    /// Must never execute twice.
    NonIdempotent,
}

/// The backends that share their knowledge of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time earns the full weight.
    pub latency_objective: Micros,
    /// The longest a client of this class waits.
    pub deadline: Micros,
    /// What a second execution may do.
    pub idempotency: Idempotency,
    /// Which backends drop duplicates, for [`Idempotency::Keyed`].
    pub dedup_scope: DedupScope,
    /// How long duplicates are dropped after the first attempt that may have run.
    pub idempotency_key_ttl: Micros,
    /// Weight of one unit against other classes.
    pub priority_weight: f64,
    /// Answers come as a stream.
    pub streaming: bool,
    /// The service that serves it; backends of other services never get its requests.
    pub service: u16,
    /// The most attempts of one request; 0 means [`Settings::max_attempts`].
    pub max_attempts: u32,
    /// An attempt is given up after this time; 0 means at the client's deadline.
    pub attempt_timeout: Micros,
    /// A hedged request is considered after this time; 0 means a part of the latency objective.
    pub hedge_after: Micros,
}

/// A plan: the quotas of each of its tenants, over all gatekeepers together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0 means no such quota.
    pub rate: f64,
    /// Capacity of a tenant's token bucket in units; it starts full.
    pub burst: f64,
    /// The most attempts in flight at once; 0 means no such quota.
    pub max_in_flight: u32,
    /// Hard ceiling in units a second; 0 means none.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket in units.
    pub ceiling_burst: f64,
    /// Factor on the priority weight of the class.
    pub priority_factor: f64,
    /// Part of the weight earned by a request forwarded beyond the quota.
    pub beyond_quota_earns: f64,
    /// Part of the weight lost by a request forwarded beyond the quota.
    pub beyond_quota_costs: f64,
}

/// A value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Requests in flight.
    InFlight,
    /// Requests queued.
    Queued,
    /// Share of the processor that is busy.
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
    /// Not at all.
    Off,
    /// With answers and health checks.
    Inline,
    /// With health checks only.
    OnHealthCheck,
}

/// Settings of one state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gatekeepers in this tier.
    pub gatekeepers: u32,
    /// Number of this gatekeeper, from 0.
    pub gatekeeper_index: u32,
    /// Zone of this gatekeeper.
    pub zone: u8,
    /// Shortest time between two deliveries of events.
    pub tick: Micros,
    /// Request classes, by number.
    pub classes: Vec<RequestClass>,
    /// Plans, by number.
    pub plans: Vec<Plan>,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Active health checks are allowed.
    pub health_checks: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// The longest Retry-After that a rejection may carry; 0 means none.
    pub max_retry_after: Micros,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// The endpoint list has to be polled.
    pub polls_endpoints: bool,
    /// Without a poll for this long, the list of that time counts as notified.
    pub poll_interval: Micros,
    /// How load reports arrive.
    pub load_reporting: LoadReporting,
    /// The values of a load report, in order.
    pub load_metrics: Vec<LoadMetric>,
    /// Share of its capacity that a backend starts with, at least.
    pub slow_start_share: f64,
    /// A backend is warm after this time at most.
    pub slow_start_duration: Micros,
    /// A backend in slow start that gets more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this time becomes overloaded and fails.
    pub overload_duration: Micros,
    /// Work sent to a draining backend must end within this time.
    pub drain_grace: Micros,
    /// A shared quota counter may be called.
    pub shared_counter: bool,
    /// A call to the counter is given up after this time.
    pub counter_timeout: Micros,
    /// The cost of a request is an estimate that its answer corrects.
    pub estimated_costs: bool,
    /// The largest cost of one request in units.
    pub max_cost: f64,
    /// Price of an attempt that crosses zones, as a part of the weight of a request.
    pub cross_zone_cost: f64,
    /// Backends get work in proportion to their sizes.
    pub weighted_backends: bool,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("setting `{setting}` {problem}")]
pub struct SettingsError {
    setting: &'static str,
    problem: &'static str,
}

impl SettingsError {
    /// The name of the setting at fault.
    pub fn setting(&self) -> &'static str {
        self.setting
    }
}

impl Default for RequestClass {
    /// An idempotent class, answered within a second.
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
            beyond_quota_earns: 0.0,
            beyond_quota_costs: 0.0,
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
            self.beyond_quota_earns,
            self.beyond_quota_costs,
        ]
        .into_iter()
        .all(is_finite_and_positive_or_zero)
    }
}

impl Default for Settings {
    /// One gatekeeper on its own: no counter, no health checks, no load reports, backends always warm, no class yet.
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
    /// Checks that a state machine can work by these settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of its range.
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
        let timed = classes.iter().all(|class| class.latency_objective > 0 && class.deadline > 0);
        require(timed, "classes", "need an aim and a deadline above 0")?;
        let weighted = classes.iter().all(|class| is_finite_and_positive_or_zero(class.priority_weight));
        require(weighted, "classes", "need a finite worth of at least 0")?;
        require(self.plans.iter().all(Plan::is_valid), "plans", "need finite figures of at least 0")
    }

    fn validate_limits(&self) -> Result<(), SettingsError> {
        require(self.max_attempts > 0, "max_attempts", "must be at least 1")?;
        let share = self.slow_start_share;
        require(share > 0.0 && share <= 1.0, "cold_share", "must be above 0 and at most 1")?;
        let factor = self.overload_factor;
        require(factor.is_finite() && factor > 0.0, "overload_factor", "must be above 0")?;
        require(self.overload_duration > 0, "fall_span", "must be above 0")?;
        let costs = [self.max_cost, self.cross_zone_cost];
        let usable = costs.into_iter().all(is_finite_and_positive_or_zero);
        require(usable, "largest", "must be a finite figure of at least 0")
    }
}

/// The error text names settings as operators know them, not as the fields are named here.
fn require(holds: bool, setting: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    if holds { Ok(()) } else { Err(SettingsError { setting, problem }) }
}

fn is_finite_and_positive_or_zero(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
