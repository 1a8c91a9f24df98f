//! Updates the state of each service's backends: on changes of the endpoint list, on operator ejections, and
//! periodically.

use crate::concurrency_limit::Capacity;
use crate::endpoints::ListContext;
use crate::event::{BackendEntry, ListKind};
use crate::ids::BackendId;
use crate::service_pool::SizedBackend;
use crate::slow_start::{SenderShare, token_rate};
use crate::state_machine::Policy;

impl Policy {
    pub(crate) fn on_endpoints(&mut self, kind: ListKind, entries: Vec<BackendEntry>) {
        let class_count = self.settings.classes.len();
        let mut context = ListContext { now: self.now, class_count, rng: &mut self.rng };
        self.backends.apply_list(kind, entries, &mut context);
        self.order_pools();
    }

    pub(crate) fn on_operator_ejection(&mut self, id: BackendId, ejected: bool) {
        let class_count = self.settings.classes.len();
        let mut context = ListContext { now: self.now, class_count, rng: &mut self.rng };
        self.backends.set_operator_ejection(id, ejected, &mut context);
        self.on_endpoints(ListKind::Delta, Vec::new());
    }

    /// Sorts the ready backends of each service by preference, and adapts the concurrency limits to the
    /// number of ready backends.
    fn order_pools(&mut self) {
        for (service, pool) in self.pools.iter_mut().enumerate() {
            let ready = self.backends.ready(service as u16);
            let ready = ready.map(|backend| SizedBackend { id: backend.entry.id, size: backend.size() });
            pool.order.set_backends(ready.collect(), &self.settings);
            let capacity = Capacity::of(self.settings.gatekeepers, pool.order.ready().len());
            pool.concurrency.fit_to(capacity);
        }
    }

    pub(crate) fn update_panic_mode(&mut self, service: usize) {
        let ejected =
            self.backends.ready(service as u16).filter(|backend| backend.health.is_ejected()).count();
        self.pools[service].order.update_panic_mode(ejected);
    }

    /// Runs the periodic updates of the backends of one service.
    pub(crate) fn update_pool(&mut self, service: usize) {
        let seconds = self.measure_answer_rate(service);
        for rank in 0..self.pools[service].order.ready().len() {
            let id = self.pools[service].order.ready()[rank];
            self.update_backend(service, id, rank, seconds);
        }
        self.update_panic_mode(service);
    }

    /// Updates the answer rate of a service. Returns the seconds since the previous update.
    fn measure_answer_rate(&mut self, service: usize) -> f64 {
        let (now, settings) = (self.now, &self.settings);
        let ready = self.backends.ready(service as u16);
        let warm_fraction: f64 =
            ready.map(|backend| self.backends.warm_fraction(backend, settings, now)).sum();
        let pool = &mut self.pools[service];
        let seconds = pool.answer_rate.seconds_since_measured(now);
        pool.answer_rate.measure_rate(warm_fraction, pool.means.latency(), settings.gatekeepers, now);
        pool.means.decay_representative_latency(seconds);
        seconds
    }

    /// Adds slow-start tokens to a backend, and decays its recent sends. Only gatekeepers that have the
    /// backend in their subset earn tokens, even if other gatekeepers fall back to the backend.
    fn update_backend(&mut self, service: usize, id: BackendId, rank: usize, seconds: f64) {
        let (pool, settings) = (&self.pools[service], &self.settings);
        let Some(backend) = self.backends.get(id) else { return };
        let warm_fraction = self.backends.warm_fraction(backend, settings, self.now);
        let earns_tokens = warm_fraction < 1.0 && rank < pool.order.subset_size();
        let share = SenderShare {
            subset_fraction: pool.order.subset_fraction(),
            warm_rate: pool.answer_rate.assumed_rate(),
        };
        let earned = if earns_tokens { token_rate(settings, warm_fraction, share) * seconds } else { 0.0 };
        if let Some(backend) = self.backends.get_mut(id) {
            backend.slow_start.earn_tokens(earned);
            backend.load.decay_recent_sends(seconds);
        }
    }
}
