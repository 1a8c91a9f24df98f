//! Load balancing: which of the backends that accept a request gets it.

use crate::attempt_rules::AttemptRules;
use crate::backend::Backend;
use crate::backend_latency::GOOD_LATENCY;
use crate::concurrency_limit::MAX_PER_BACKEND;
use crate::endpoints::Backends;
use crate::event::BackendState;
use crate::ids::BackendId;
use crate::request::Request;
use crate::service_pool::ServicePool;
use crate::settings::Settings;
use crate::time::Timestamp;

/// Factor that turns the settings' price of crossing zones into expected wait.
const CROSS_ZONE_FACTOR: f64 = 10.0;

/// The backends that may get a request.
#[derive(Debug, PartialEq)]
pub(crate) enum Candidates {
    /// The trial of this backend is due.
    Trial(BackendId),
    /// Backends that accept the request, in this gatekeeper's order of preference.
    Accepting(Vec<BackendId>),
}

/// Selects a backend of one service at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadBalancer<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) backends: &'a Backends,
    pub(crate) pool: &'a ServicePool,
    pub(crate) now: Timestamp,
}

impl LoadBalancer<'_> {
    /// Selects the backend with the least expected wait among a random sample of good ones (power of d
    /// choices): taking the very best would send all gatekeepers to one.
    pub(crate) fn select(self, request: &Request, rng: &mut fastrand::Rng) -> Option<BackendId> {
        let draws = 2 + 2 * self.pool.order.ready().len() / self.settings.gatekeepers as usize;
        match self.candidates(request) {
            Candidates::Trial(backend) => Some(backend),
            Candidates::Accepting(candidates) => self.draw_best(candidates, draws, rng),
        }
    }

    /// Each gatekeeper keeps to the first few of its own order, and goes on past those that do not accept
    /// work.
    fn candidates(self, request: &Request) -> Candidates {
        let rules = AttemptRules::new(self.settings, self.now);
        let (mut accepting, mut good) = (Vec::new(), 0);
        for &id in self.pool.order.ready() {
            let Some(backend) = self.backends.get(id) else { continue };
            let may_attempt = || rules.may_attempt(request, &backend.entry);
            if request.was_sent_to(id) || !self.accepts(backend, request) || !may_attempt() {
                continue;
            }
            // By its latency it would get no trial until that is forgotten.
            let is_trial = backend.health.wants_trial(request.class) && !self.pool.order.in_panic_mode();
            if is_trial && request.attempts.is_empty() {
                return Candidates::Trial(id);
            }
            accepting.push(id);
            good += usize::from(self.is_good(backend));
            if good >= self.pool.order.subset_size() {
                break;
            }
        }
        Candidates::Accepting(accepting)
    }

    /// Draws at random until this many good backends were drawn, and returns the drawn one with the least
    /// expected wait.
    fn draw_best(
        self,
        mut candidates: Vec<BackendId>,
        draws: usize,
        rng: &mut fastrand::Rng,
    ) -> Option<BackendId> {
        let (mut best, mut good) = (None, 0);
        while !candidates.is_empty() && good < draws {
            let id = candidates.swap_remove(rng.usize(..candidates.len()));
            let Some(backend) = self.backends.get(id) else { continue };
            let wait = self.expected_wait(backend);
            best = best.filter(|&(least, _)| least <= wait).or(Some((wait, id)));
            good += usize::from(self.is_good(backend));
        }
        best.map(|(_, id)| id)
    }

    /// Whether a backend accepts this request now: ready, not in backoff, not ejected, and with capacity.
    fn accepts(self, backend: &Backend, request: &Request) -> bool {
        let health = &backend.health;
        let is_warming_up = self.backends.warmth(backend, self.settings, self.now) < 1.0;
        let lacks_token = is_warming_up && !backend.slow_start.has_token();
        let is_in_backoff = health.is_in_connect_backoff(self.now)
            || health.pauses_after_rejection(request.class, request.plan, self.now);
        if backend.entry.state != BackendState::Ready || lacks_token || is_in_backoff {
            return false;
        }
        let ejected_until = health.ejected_until(request.class);
        match ejected_until.filter(|_| !self.pool.order.in_panic_mode()) {
            Some(next_trial) => self.now >= next_trial,
            None => self.has_capacity(backend),
        }
    }

    /// Whether this gatekeeper's share of the attempts in flight at a backend allows one more.
    fn has_capacity(self, backend: &Backend) -> bool {
        let size = if self.pool.order.has_uneven_sizes() { backend.size().max(1.0) } else { 1.0 };
        let per_backend = (MAX_PER_BACKEND / f64::from(self.settings.gatekeepers)).max(1.0);
        f64::from(backend.load.in_flight()) < per_backend * size
    }

    fn expected_latency(self, backend: &Backend) -> f64 {
        backend.latency.expected(self.pool.means.first_contact_latency(), self.now)
    }

    fn is_good(self, backend: &Backend) -> bool {
        self.expected_latency(backend) < GOOD_LATENCY
    }

    /// Expected latency times the attempts in flight, times the settings' price of crossing zones.
    fn expected_wait(self, backend: &Backend) -> f64 {
        let is_same_zone = backend.entry.zone == self.settings.zone;
        let cross_zone = CROSS_ZONE_FACTOR * self.settings.cross_zone_cost;
        let cross_zone = if is_same_zone { 1.0 } else { 1.0 + cross_zone };
        let in_flight = f64::from(backend.load.in_flight());
        // By size, recent sends count too: when little is in flight, sizes would not show.
        let load = if self.pool.order.has_uneven_sizes() {
            (1.0 + in_flight / backend.size()) * (1.0 + backend.load.recent_sends() / backend.size())
        } else {
            1.0 + in_flight
        };
        self.expected_latency(backend) * load * cross_zone
    }
}
