//! Concurrency limit: how many attempts this gatekeeper may have in flight, and which work may use the last
//! of it.

use crate::state::{Attempt, Request};
use crate::state_machine::Policy;
use crate::time::Timestamp;

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
/// s; memory of latency over all backends, and bounds of the weight of one sample.
const OBJECTIVE_PART_MEMORY: f64 = 1.0;
const OBJECTIVE_PART_WEIGHTS: (f64, f64) = (0.01, 0.3);

/// Bounds of the concurrency limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// This gatekeeper's even share of the capacity of all backends.
    pub(crate) even_share: f64,
    /// The same with chance on top: with many gatekeepers the traffic of each is uneven.
    pub(crate) upper_bound: f64,
}

impl Policy {
    /// Mean latency as a part of the objective below which the limit grows. Latencies spread to three times
    /// their mean, so a mean of half the objective already means many late answers.
    pub(crate) const EARLY_PART: f64 = 0.3;

    pub(crate) fn capacity(&self) -> Capacity {
        let per_backend = MAX_PER_BACKEND / f64::from(self.settings.gatekeepers);
        let even_share = per_backend * self.pool.ready.len() as f64;
        let upper_bound =
            if per_backend < 1.0 { even_share + 2.0 * (even_share + 1.0).sqrt() } else { even_share };
        Capacity { even_share, upper_bound }
    }

    /// When capacity runs short, work of low weight leaves the last of it to work of high weight.
    pub(crate) fn has_capacity(&self, request: &Request) -> bool {
        let (pool, in_flight) = (&self.pool, self.attempts_in_flight());
        let plan = &self.settings.plans[request.plan];
        let weight = self.settings.classes[request.class].priority_weight * plan.priority_factor;
        let reserved = RESERVED_SHARE * (1.0 - weight / self.max_weight.max(1e-9));
        let limit = pool.concurrency_limit;
        let since_send = (self.now - pool.last_send) as f64;
        let is_spaced = limit >= 1.0 || since_send * limit >= pool.mean_latency;
        is_spaced && in_flight <= limit * (1.0 - reserved) && in_flight + 1.0 <= limit.max(1.0)
    }

    /// Attempts in flight, except those at ejected backends: they take nobody's capacity.
    fn attempts_in_flight(&self) -> f64 {
        let counts = |request: &Request, attempt: &Attempt| {
            let backend = self.backends.get(&attempt.backend);
            let is_lost = backend.is_none_or(|backend| backend.ejected_until(request.class).is_some());
            attempt.is_in_flight() && (self.pool.in_panic_mode || !is_lost)
        };
        let in_flight = |request: &Request| request.attempts.iter().filter(|a| counts(request, a)).count();
        let is_served_here =
            |request: &&Request| self.settings.classes[request.class].service == self.active_service();
        self.requests.values().filter(is_served_here).map(in_flight).sum::<usize>() as f64
    }

    /// Adds a latency as a part of its objective: the limit shrinks once for each round of late answers.
    pub(crate) fn update_concurrency_limit(&mut self, objective_part: f64, sent_at: Timestamp) {
        let (capacity, now) = (self.capacity(), self.now);
        let pool = &mut self.pool;
        let since = now.seconds_since(pool.objective_part_updated_at) / OBJECTIVE_PART_MEMORY;
        let weight = since.clamp(OBJECTIVE_PART_WEIGHTS.0, OBJECTIVE_PART_WEIGHTS.1);
        pool.objective_part += weight * (objective_part.min(1.0) - pool.objective_part);
        pool.objective_part_updated_at = now;
        let limit = pool.concurrency_limit;
        if pool.objective_part > LATE_PART && sent_at >= pool.limit_reduced_at {
            let lower_bound = MIN_PER_BACKEND / MAX_PER_BACKEND * capacity.even_share;
            pool.concurrency_limit = (limit * DECREASE_FACTOR).max(lower_bound);
            pool.limit_reduced_at = now;
        } else if pool.objective_part < Self::EARLY_PART {
            pool.concurrency_limit = (limit + (1.0 / limit).min(limit)).min(capacity.upper_bound);
        }
    }
}
