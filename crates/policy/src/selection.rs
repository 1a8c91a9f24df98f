//! Load balancing: selects the backend for an attempt among those that accept the request.

use crate::attempt_rules::AttemptRules;
use crate::backend::Backend;
use crate::backend_latency::GOOD_RELATIVE_LATENCY;
use crate::concurrency_limit::MAX_IN_FLIGHT_PER_BACKEND;
use crate::endpoints::Backends;
use crate::event::BackendState;
use crate::ids::BackendId;
use crate::request::Request;
use crate::service_pool::ServicePool;
use crate::settings::Settings;
use crate::time::Timestamp;

/// Factor that converts the settings' cost of crossing zones into an increase of the expected wait.
const CROSS_ZONE_FACTOR: f64 = 10.0;

/// The backends from which one is selected for a request.
#[derive(Debug, PartialEq)]
pub(crate) enum Candidates {
    /// An ejected backend that is due for a trial request, and gets the request.
    Trial(BackendId),
    /// Backends that accept the request, in this gatekeeper's order of preference.
    Accepting(Vec<BackendId>),
}

/// Selects a backend of one service at the time `now`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadBalancer<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) backends: &'a Backends,
    pub(crate) pool: &'a ServicePool,
    pub(crate) now: Timestamp,
}

impl LoadBalancer<'_> {
    /// Selects the backend with the least expected wait in a random sample (power of d choices). If each
    /// gatekeeper selected the best of all backends, all gatekeepers would send to the same one.
    pub(crate) fn select(self, request: &Request, rng: &mut fastrand::Rng) -> Option<BackendId> {
        let sample_size = 2 + 2 * self.pool.order.ready().len() / self.settings.gatekeepers as usize;
        match self.candidates(request) {
            Candidates::Trial(backend) => Some(backend),
            Candidates::Accepting(candidates) => self.select_from_sample(candidates, sample_size, rng),
        }
    }

    /// Collects the backends that accept the request in this gatekeeper's order of preference, until as many
    /// of them as its subset has members have good latency.
    fn candidates(self, request: &Request) -> Candidates {
        let rules = AttemptRules::new(self.settings, self.now);
        let (mut accepting, mut good_count) = (Vec::new(), 0);
        for &id in self.pool.order.ready() {
            let Some(backend) = self.backends.get(id) else { continue };
            let may_attempt = || rules.may_attempt(request, &backend.entry);
            if request.was_sent_to(id) || !self.accepts(backend, request) || !may_attempt() {
                continue;
            }
            // A trial ignores the latency estimate. The estimate is high after failures, so the backend would
            // not be selected until the estimate has decayed.
            let is_trial = backend.health.is_trial_class(request.class) && !self.pool.order.in_panic_mode();
            if is_trial && request.attempts.is_empty() {
                return Candidates::Trial(id);
            }
            accepting.push(id);
            good_count += usize::from(self.has_good_latency(backend));
            if good_count >= self.pool.order.subset_size() {
                break;
            }
        }
        Candidates::Accepting(accepting)
    }

    /// Draws candidates at random until the sample holds `sample_size` backends with good latency, and
    /// returns the drawn backend with the least expected wait.
    fn select_from_sample(
        self,
        mut candidates: Vec<BackendId>,
        sample_size: usize,
        rng: &mut fastrand::Rng,
    ) -> Option<BackendId> {
        let (mut best, mut good_count) = (None, 0);
        while !candidates.is_empty() && good_count < sample_size {
            let id = candidates.swap_remove(rng.usize(..candidates.len()));
            let Some(backend) = self.backends.get(id) else { continue };
            let wait = self.expected_wait(backend);
            best = best.filter(|&(least, _)| least <= wait).or(Some((wait, id)));
            good_count += usize::from(self.has_good_latency(backend));
        }
        best.map(|(_, id)| id)
    }

    /// Whether a backend accepts this request now. The backend has to be ready, to have a token if it is in
    /// slow start, and not to be in a backoff. An ejected backend accepts the request if its next trial is
    /// due, any other backend if it has capacity. In panic mode ejections are ignored.
    fn accepts(self, backend: &Backend, request: &Request) -> bool {
        let health = &backend.health;
        let is_warming_up = self.backends.warm_fraction(backend, self.settings, self.now) < 1.0;
        let lacks_token = is_warming_up && !backend.slow_start.has_token();
        let is_in_backoff = health.is_in_connect_backoff(self.now)
            || health.is_in_rejection_pause(request.class, request.plan, self.now);
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
        let per_backend = (MAX_IN_FLIGHT_PER_BACKEND / f64::from(self.settings.gatekeepers)).max(1.0);
        f64::from(backend.load.in_flight()) < per_backend * size
    }

    fn expected_latency(self, backend: &Backend) -> f64 {
        backend.latency.expected_relative_latency(self.pool.means.representative_latency(), self.now)
    }

    fn has_good_latency(self, backend: &Backend) -> bool {
        self.expected_latency(backend) < GOOD_RELATIVE_LATENCY
    }

    /// Expected latency, multiplied by the load of the backend and by the cost of crossing zones.
    fn expected_wait(self, backend: &Backend) -> f64 {
        let is_same_zone = backend.entry.zone == self.settings.zone;
        let cross_zone = CROSS_ZONE_FACTOR * self.settings.cross_zone_cost;
        let cross_zone = if is_same_zone { 1.0 } else { 1.0 + cross_zone };
        let in_flight = f64::from(backend.load.in_flight());
        // With uneven sizes, recent sends count as load too. At low load few attempts are in flight, and the
        // attempts in flight alone would not distribute requests by size.
        let load = if self.pool.order.has_uneven_sizes() {
            (1.0 + in_flight / backend.size()) * (1.0 + backend.load.recent_sends() / backend.size())
        } else {
            1.0 + in_flight
        };
        self.expected_latency(backend) * load * cross_zone
    }
}
