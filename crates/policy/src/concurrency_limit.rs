//! Concurrency limit: how many attempts this gatekeeper may have in flight at the backends of one service,
//! and which requests may use the last free capacity. The limit has additive increase while answers are
//! early, and multiplicative decrease while they are late.

use crate::stored::StoredPool;
use crate::time::{Micros, Timestamp};

/// Mean latency, as a fraction of the objective, below which the limit grows. Latencies range up to three
/// times their mean, so with a mean of half the objective many answers are already late.
const EARLY_OBJECTIVE_FRACTION: f64 = 0.3;
/// Mean latency, as a fraction of the objective, above which the limit shrinks.
const LATE_OBJECTIVE_FRACTION: f64 = 0.45;
/// Factor by which one round of late answers reduces the concurrency limit.
const DECREASE_FACTOR: f64 = 0.8;
/// Attempts that all gatekeepers together may have in flight at a backend in normal operation.
pub(crate) const MAX_IN_FLIGHT_PER_BACKEND: f64 = 8.0;
/// Attempts that all gatekeepers together may have in flight at a backend while answers are late. With fewer
/// attempts, a backend is partly idle, so that lateness is due to the work itself and not to a queue.
const MIN_IN_FLIGHT_PER_BACKEND: f64 = 3.0;
/// Share of the limit that requests of the lowest weight leave to requests of the highest weight when
/// capacity runs short.
const RESERVED_SHARE: f64 = 0.5;
/// Averaging time in seconds of the mean latency over all backends.
const LATENCY_AVERAGING_SECONDS: f64 = 1.0;
/// Lower and upper bound of the weight of one sample in the mean latency over all backends.
const SAMPLE_WEIGHT_BOUNDS: (f64, f64) = (0.01, 0.3);

/// Bounds of the concurrency limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// This gatekeeper's even share of the capacity of all backends.
    pub(crate) even_share: f64,
    /// The even share with a margin for random variation: with many gatekeepers, the traffic of each is
    /// uneven.
    pub(crate) upper_bound: f64,
}

impl Capacity {
    pub(crate) fn of(gatekeepers: u32, ready_backends: usize) -> Self {
        let per_backend = MAX_IN_FLIGHT_PER_BACKEND / f64::from(gatekeepers);
        let even_share = per_backend * ready_backends as f64;
        let upper_bound =
            if per_backend < 1.0 { even_share + 2.0 * (even_share + 1.0).sqrt() } else { even_share };
        Self { even_share, upper_bound }
    }
}

/// A request that asks for capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Attempts in flight now.
    pub(crate) in_flight: f64,
    /// Weight of the request divided by the largest weight that a request can have.
    pub(crate) relative_weight: f64,
    /// Mean latency of the service in microseconds.
    pub(crate) mean_latency: f64,
}

/// The concurrency limit of one service, and the mean latency that it depends on.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// Attempts that may be in flight; 0 until the first backends are known.
    limit: f64,
    reduced_at: Timestamp,
    last_send: Timestamp,
    /// Mean latency as a fraction of the latency objective.
    objective_fraction: f64,
    updated_at: Timestamp,
}

impl ConcurrencyLimit {
    pub(crate) fn new() -> Self {
        Self {
            limit: 0.0,
            reduced_at: Timestamp::ZERO,
            last_send: Timestamp::ZERO,
            objective_fraction: EARLY_OBJECTIVE_FRACTION,
            updated_at: Timestamp::ZERO,
        }
    }

    /// Adapts the limit to the capacity of a changed set of ready backends.
    pub(crate) fn fit_to(&mut self, capacity: Capacity) {
        let is_first = self.limit == 0.0;
        self.limit = if is_first { capacity.even_share } else { self.limit.min(capacity.upper_bound) };
    }

    /// Whether the limit admits one more attempt. When capacity runs short, requests of low weight leave the
    /// rest to requests of high weight. A limit below one attempt is enforced by an interval between
    /// attempts.
    pub(crate) fn admits(&self, demand: Demand, now: Timestamp) -> bool {
        let reserved = RESERVED_SHARE * (1.0 - demand.relative_weight);
        let since_send = (now - self.last_send) as f64;
        let is_spaced = self.limit >= 1.0 || since_send * self.limit >= demand.mean_latency;
        let is_within = demand.in_flight <= self.limit * (1.0 - reserved);
        is_spaced && is_within && demand.in_flight + 1.0 <= self.limit.max(1.0)
    }

    pub(crate) fn record_send(&mut self, now: Timestamp) {
        self.last_send = now;
    }

    /// Lets the next attempt follow without an interval, because the last attempt took no capacity.
    pub(crate) fn forget_last_send(&mut self) {
        self.last_send = Timestamp::ZERO;
    }

    /// Records a latency as a fraction of its objective. Only an attempt that was sent after the last
    /// reduction can reduce the limit again, so each round of late answers reduces the limit once.
    pub(crate) fn record_latency(
        &mut self,
        objective_fraction: f64,
        sent_at: Timestamp,
        capacity: Capacity,
        now: Timestamp,
    ) {
        let since = now.seconds_since(self.updated_at) / LATENCY_AVERAGING_SECONDS;
        let weight = since.clamp(SAMPLE_WEIGHT_BOUNDS.0, SAMPLE_WEIGHT_BOUNDS.1);
        self.objective_fraction += weight * (objective_fraction.min(1.0) - self.objective_fraction);
        self.updated_at = now;
        let limit = self.limit;
        if self.objective_fraction > LATE_OBJECTIVE_FRACTION && sent_at >= self.reduced_at {
            let lower_bound = MIN_IN_FLIGHT_PER_BACKEND / MAX_IN_FLIGHT_PER_BACKEND * capacity.even_share;
            self.limit = (limit * DECREASE_FACTOR).max(lower_bound);
            self.reduced_at = now;
        } else if self.is_early() {
            self.limit = (limit + (1.0 / limit).min(limit)).min(capacity.upper_bound);
        }
    }

    /// Whether answers come early enough for the limit to grow.
    pub(crate) fn is_early(&self) -> bool {
        self.objective_fraction < EARLY_OBJECTIVE_FRACTION
    }

    /// Excess of the mean latency over the bound for early answers, as a fraction of the latency objective; 0
    /// while answers are early.
    pub(crate) fn lateness(&self) -> f64 {
        (self.objective_fraction - EARLY_OBJECTIVE_FRACTION).max(0.0)
    }

    pub(crate) fn store(&self, stored: &mut StoredPool) {
        stored.concurrency_limit = self.limit;
        stored.limit_reduced_at = self.reduced_at;
        stored.last_send = self.last_send;
        stored.objective_fraction = self.objective_fraction;
        stored.objective_fraction_updated_at = self.updated_at;
    }

    pub(crate) fn restore(stored: &StoredPool, now: Timestamp) -> Self {
        Self {
            limit: stored.concurrency_limit,
            reduced_at: stored.limit_reduced_at,
            last_send: stored.last_send.min(now),
            objective_fraction: stored.objective_fraction,
            updated_at: stored.objective_fraction_updated_at.min(now),
        }
    }
}

/// Latency of an attempt as a fraction of its objective.
pub(crate) fn objective_fraction(elapsed: Micros, latency_objective: Micros) -> f64 {
    elapsed as f64 / latency_objective as f64
}

#[cfg(test)]
mod tests;
