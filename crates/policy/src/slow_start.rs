//! Slow start: how much a backend that has just started is sent by this gatekeeper.

use crate::ids::BackendId;
use crate::state::Backend;
use crate::state_machine::Policy;
use crate::time::SECOND;

/// Standard deviations that are left free in what a backend in slow start is sent.
const RESERVED_DEVIATIONS: f64 = 2.0;
/// Part of its budget that it gets at least.
const MIN_BUDGET_PART: f64 = 0.25;
/// Attempts that one gatekeeper may save up for a backend in slow start.
const MAX_TOKENS: f64 = 2.0;
/// s; memory of what was sent to a backend, where work goes by size.
const RECENT_SENDS_MEMORY: f64 = 1.0;

impl Policy {
    /// Attempts a second that this gatekeeper may add to a backend in slow start: its part of what overloads
    /// it, less room for chance, which grows with the number of gatekeepers that send without coordination.
    fn slow_start_rate(&self, backend: &Backend) -> f64 {
        let gatekeepers = f64::from(self.settings.gatekeepers);
        let seconds = self.settings.overload_duration as f64 / SECOND;
        let factor = self.settings.overload_factor * self.warmth(backend);
        let budget = factor * self.pool.assumed_rate * gatekeepers * seconds;
        let subset = self.pool.subset_size as f64 / self.pool.ready.len().max(1) as f64;
        let senders = gatekeepers * subset.min(1.0);
        let chance = RESERVED_DEVIATIONS * budget.min(senders).sqrt();
        (budget - chance).max(budget * MIN_BUDGET_PART) / senders / seconds
    }

    /// Periodic work over the active pool.
    pub(crate) fn update_pool(&mut self) {
        let seconds = self.measure_rates();
        for (rank, id) in self.pool.ready.clone().into_iter().enumerate() {
            self.update_backend(id, rank, seconds);
        }
        self.update_panic_mode();
    }

    fn update_backend(&mut self, id: BackendId, rank: usize, seconds: f64) {
        let backend = &self.backends[&id];
        // Only gatekeepers that prefer it earn tokens for it, however far others must go in their order.
        let is_due = self.warmth(backend) < 1.0 && rank < self.pool.subset_size;
        let earned = if is_due { self.slow_start_rate(backend) * seconds } else { 0.0 };
        let decay = (-seconds / RECENT_SENDS_MEMORY).exp();
        self.backends.entry(id).and_modify(|backend| {
            backend.slow_start_tokens = (backend.slow_start_tokens + earned).min(MAX_TOKENS);
            backend.recent_sends *= decay;
        });
    }
}
