//! Updates of the backends of a service: from the endpoint list, by operators, and the periodic work over
//! them.

use crate::concurrency_limit::Capacity;
use crate::endpoints::ListContext;
use crate::event::{BackendEntry, ListKind};
use crate::ids::BackendId;
use crate::service_pool::SizedBackend;
use crate::slow_start::{SenderShare, token_rate};
use crate::state_machine::Policy;

impl Policy {
    pub(crate) fn on_endpoints(&mut self, kind: ListKind, entries: Vec<BackendEntry>) {
        let classes = self.settings.classes.len();
        let mut context = ListContext { now: self.now, classes, rng: &mut self.rng };
        self.backends.apply_list(kind, entries, &mut context);
        self.order_pools();
    }

    pub(crate) fn on_operator_ejection(&mut self, id: BackendId, ejected: bool) {
        let classes = self.settings.classes.len();
        let mut context = ListContext { now: self.now, classes, rng: &mut self.rng };
        self.backends.set_operator_ejection(id, ejected, &mut context);
        self.on_endpoints(ListKind::Delta, Vec::new());
    }

    /// Orders the ready backends of each service.
    fn order_pools(&mut self) {
        for (service, pool) in self.pools.iter_mut().enumerate() {
            let ready = self.backends.ready(service as u16);
            let ready = ready.map(|backend| SizedBackend { id: backend.entry.id, size: backend.size() });
            pool.order.set(ready.collect(), &self.settings);
            let capacity = Capacity::of(self.settings.gatekeepers, pool.order.ready().len());
            pool.concurrency.fit_to(capacity);
        }
    }

    pub(crate) fn update_panic_mode(&mut self, service: usize) {
        let ejected =
            self.backends.ready(service as u16).filter(|backend| backend.health.is_ejected()).count();
        self.pools[service].order.update_panic_mode(ejected);
    }

    /// Periodic work over the backends of one service.
    pub(crate) fn update_pool(&mut self, service: usize) {
        let seconds = self.measure_answer_rate(service);
        for rank in 0..self.pools[service].order.ready().len() {
            let id = self.pools[service].order.ready()[rank];
            self.update_backend(service, id, rank, seconds);
        }
        self.update_panic_mode(service);
    }

    /// Returns the seconds since the last measurement.
    fn measure_answer_rate(&mut self, service: usize) -> f64 {
        let (now, settings) = (self.now, &self.settings);
        let ready = self.backends.ready(service as u16);
        let warmth: f64 = ready.map(|backend| self.backends.warmth(backend, settings, now)).sum();
        let pool = &mut self.pools[service];
        let seconds = pool.answers.seconds_since_measured(now);
        pool.answers.measure(warmth, pool.means.latency(), settings.gatekeepers, now);
        pool.means.forget_first_contacts(seconds);
        seconds
    }

    /// Lets a backend earn slow-start tokens. Only gatekeepers that prefer it earn them, however far others
    /// must go in their order.
    fn update_backend(&mut self, service: usize, id: BackendId, rank: usize, seconds: f64) {
        let (pool, settings) = (&self.pools[service], &self.settings);
        let Some(backend) = self.backends.get(id) else { return };
        let warmth = self.backends.warmth(backend, settings, self.now);
        let is_due = warmth < 1.0 && rank < pool.order.subset_size();
        let share = SenderShare { subset_part: pool.order.subset_part(), warm_rate: pool.answers.assumed() };
        let earned = if is_due { token_rate(settings, warmth, share) * seconds } else { 0.0 };
        if let Some(backend) = self.backends.get_mut(id) {
            backend.slow_start.earn(earned);
            backend.load.decay(seconds);
        }
    }
}
