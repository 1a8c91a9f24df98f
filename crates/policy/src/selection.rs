//! Backend selection: which of the backends that accept a request gets it.

use crate::concurrency_limit::MAX_PER_BACKEND;
use crate::estimates::GOOD_LATENCY;
use crate::event::BackendState;
use crate::ids::{BackendId, RequestId};
use crate::state::{Backend, Request};
use crate::state_machine::Policy;

/// Factor that turns the settings' price of crossing zones into expected wait.
const CROSS_ZONE_FACTOR: f64 = 10.0;

impl Policy {
    /// The best of a few good backends drawn at random: taking the very best would send all gatekeepers to
    /// one. Among many, each keeps to the first few of its own order, and goes on in it past those that do
    /// not accept work.
    pub(crate) fn select_backend(&mut self, request: &Request, hedged: bool) -> Option<BackendId> {
        if hedged && !self.has_capacity(request) {
            return None;
        }
        let draws = 2 + 2 * self.pool.ready.len() / self.settings.gatekeepers as usize;
        let (mut candidates, mut good) = (Vec::new(), 0);
        for &id in &self.pool.ready {
            let backend = &self.backends[&id];
            let was_tried = request.attempts.iter().any(|attempt| attempt.backend == id);
            if was_tried || !self.accepts(backend, request) || !self.may_attempt(request, backend) {
                continue;
            }
            // Its trial is due. By its latency it would have none until that is forgotten.
            let is_trial = backend.wants_trial(request.class) && !self.pool.in_panic_mode;
            if is_trial && request.attempts.is_empty() {
                return Some(id);
            }
            candidates.push(id);
            good += usize::from(self.expected_latency(backend) < GOOD_LATENCY);
            if good >= self.pool.subset_size {
                break;
            }
        }
        self.draw_best(candidates, draws)
    }

    /// The one with the least expected wait of so many good ones drawn at random.
    fn draw_best(&mut self, mut candidates: Vec<BackendId>, draws: usize) -> Option<BackendId> {
        let (mut best, mut good) = (None, 0);
        while !candidates.is_empty() && good < draws {
            let id = candidates.swap_remove(self.rng.usize(..candidates.len()));
            let backend = &self.backends[&id];
            let wait = self.expected_wait(backend);
            best = best.filter(|&(least, _)| least <= wait).or(Some((wait, id)));
            good += usize::from(self.expected_latency(backend) < GOOD_LATENCY);
        }
        best.map(|(_, id)| id)
    }

    /// A backend for a further attempt of an open request.
    pub(crate) fn select_again(&mut self, id: RequestId, hedged: bool) -> Option<BackendId> {
        let request = self.requests.remove(&id)?;
        let backend = self.select_backend(&request, hedged);
        self.requests.insert(id, request);
        backend
    }

    /// Whether a backend accepts this request now: ready, not in backoff, not ejected, and with capacity.
    fn accepts(&self, backend: &Backend, request: &Request) -> bool {
        let rejects_until = backend.rejects_until.get(&(request.class, request.plan));
        let rejects = rejects_until.is_some_and(|&until| self.now < until);
        let is_warming_up = self.warmth(backend) < 1.0 && backend.slow_start_tokens < 1.0;
        let is_in_backoff = self.now < backend.connect_backoff_until || rejects;
        if backend.entry.state != BackendState::Ready || is_warming_up || is_in_backoff {
            return false;
        }
        let ejected_until = backend.ejected_until(request.class).filter(|_| !self.pool.in_panic_mode);
        if let Some(trial) = ejected_until {
            return self.now >= trial;
        }
        let size = if self.pool.has_uneven_sizes { backend.size().max(1.0) } else { 1.0 };
        let per_backend = (MAX_PER_BACKEND / f64::from(self.settings.gatekeepers)).max(1.0);
        f64::from(backend.in_flight) < per_backend * size
    }

    /// Expected latency times what is in flight there; crossing zones costs what the settings say.
    fn expected_wait(&self, backend: &Backend) -> f64 {
        let is_same_zone = backend.entry.zone == self.settings.zone;
        let cross_zone = CROSS_ZONE_FACTOR * self.settings.cross_zone_cost;
        let cross_zone = if is_same_zone { 1.0 } else { 1.0 + cross_zone };
        let in_flight = f64::from(backend.in_flight);
        // By size, what was sent lately counts too: when little is in flight, sizes would not show.
        let load = if self.pool.has_uneven_sizes {
            (1.0 + in_flight / backend.size()) * (1.0 + backend.recent_sends / backend.size())
        } else {
            1.0 + in_flight
        };
        self.expected_latency(backend) * load * cross_zone
    }
}
