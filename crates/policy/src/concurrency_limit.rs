//! Concurrency limit: how many attempts this gatekeeper may have in flight at the backends of one service,
//! and which work may use the last of it. Additive increase while answers are early, multiplicative decrease
//! while they are late.

use crate::stored::StoredPool;
use crate::time::{Micros, Timestamp};

/// Mean latency as a part of the objective below which the limit grows. Latencies spread to three times their
/// mean, so a mean of half the objective already means many late answers.
const EARLY_PART: f64 = 0.3;
/// Mean latency as a part of the objective above which the limit shrinks.
const LATE_PART: f64 = 0.45;
/// Factor on the limit for each round of late answers.
const DECREASE_FACTOR: f64 = 0.8;
/// Attempts that all gatekeepers together may have in flight at a backend when all is well, and when its
/// answers are late. Below the second a backend idles: what is late then is the work, not a queue.
pub(crate) const MAX_PER_BACKEND: f64 = 8.0;
const MIN_PER_BACKEND: f64 = 3.0;
/// Share of the capacity that the work of least weight leaves to that of most weight when capacity runs
/// short.
const RESERVED_SHARE: f64 = 0.5;
/// Seconds; memory of latency over all backends, and bounds of the weight of one sample.
const OBJECTIVE_PART_MEMORY: f64 = 1.0;
const OBJECTIVE_PART_WEIGHTS: (f64, f64) = (0.01, 0.3);

/// Bounds of the concurrency limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// This gatekeeper's even share of the capacity of all backends.
    pub(crate) even_share: f64,
    /// The same with a margin for chance: with many gatekeepers the traffic of each is uneven.
    pub(crate) upper_bound: f64,
}

impl Capacity {
    pub(crate) fn of(gatekeepers: u32, ready_backends: usize) -> Self {
        let per_backend = MAX_PER_BACKEND / f64::from(gatekeepers);
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
    /// Weight of the request over the largest weight that a request can have.
    pub(crate) relative_weight: f64,
    /// Mean latency of the service in microseconds.
    pub(crate) mean_latency: f64,
}

/// The limit of one service, and the latency that it follows.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// Attempts that may be in flight; 0 until the first backends are known.
    limit: f64,
    reduced_at: Timestamp,
    last_send: Timestamp,
    /// Mean latency as a part of the objective.
    objective_part: f64,
    updated_at: Timestamp,
}

impl ConcurrencyLimit {
    pub(crate) fn new() -> Self {
        Self {
            limit: 0.0,
            reduced_at: Timestamp::ZERO,
            last_send: Timestamp::ZERO,
            objective_part: EARLY_PART,
            updated_at: Timestamp::ZERO,
        }
    }

    /// Fits the limit to other backends.
    pub(crate) fn fit_to(&mut self, capacity: Capacity) {
        let is_first = self.limit == 0.0;
        self.limit = if is_first { capacity.even_share } else { self.limit.min(capacity.upper_bound) };
    }

    /// Whether the limit admits one more attempt. When capacity runs short, work of low weight leaves the
    /// last of it to work of high weight. A limit below one attempt is kept by spacing attempts out.
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

    /// The last attempt took no capacity: the next one need not be spaced out.
    pub(crate) fn forget_last_send(&mut self) {
        self.last_send = Timestamp::ZERO;
    }

    /// Adds a latency as a part of its objective. The limit shrinks once for each round of late answers.
    pub(crate) fn record_latency(
        &mut self,
        objective_part: f64,
        sent_at: Timestamp,
        capacity: Capacity,
        now: Timestamp,
    ) {
        let since = now.seconds_since(self.updated_at) / OBJECTIVE_PART_MEMORY;
        let weight = since.clamp(OBJECTIVE_PART_WEIGHTS.0, OBJECTIVE_PART_WEIGHTS.1);
        self.objective_part += weight * (objective_part.min(1.0) - self.objective_part);
        self.updated_at = now;
        let limit = self.limit;
        if self.objective_part > LATE_PART && sent_at >= self.reduced_at {
            let lower_bound = MIN_PER_BACKEND / MAX_PER_BACKEND * capacity.even_share;
            self.limit = (limit * DECREASE_FACTOR).max(lower_bound);
            self.reduced_at = now;
        } else if self.is_early() {
            self.limit = (limit + (1.0 / limit).min(limit)).min(capacity.upper_bound);
        }
    }

    /// Whether answers come early enough for the limit to grow.
    pub(crate) fn is_early(&self) -> bool {
        self.objective_part < EARLY_PART
    }

    /// By how much the mean latency is above the part of the objective that is early, as a part of the
    /// objective.
    pub(crate) fn lateness(&self) -> f64 {
        (self.objective_part - EARLY_PART).max(0.0)
    }

    pub(crate) fn store(&self, stored: &mut StoredPool) {
        stored.concurrency_limit = self.limit;
        stored.limit_reduced_at = self.reduced_at;
        stored.last_send = self.last_send;
        stored.objective_part = self.objective_part;
        stored.objective_part_updated_at = self.updated_at;
    }

    pub(crate) fn restore(stored: &StoredPool, now: Timestamp) -> Self {
        Self {
            limit: stored.concurrency_limit,
            reduced_at: stored.limit_reduced_at,
            last_send: stored.last_send.min(now),
            objective_part: stored.objective_part,
            updated_at: stored.objective_part_updated_at.min(now),
        }
    }
}

/// Latency of an attempt as a part of its objective.
pub(crate) fn objective_part(elapsed: Micros, latency_objective: Micros) -> f64 {
    elapsed as f64 / latency_objective as f64
}

#[cfg(test)]
mod tests;
