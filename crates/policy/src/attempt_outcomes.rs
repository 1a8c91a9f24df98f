//! Updates the health of the backend, the concurrency limit and the latency estimates when an attempt ends.

use crate::backend_latency::{MAX_RELATIVE_LATENCY, MIN_RELATIVE_LATENCY, SampleKind};
use crate::concurrency_limit::{Capacity, objective_fraction};
use crate::event::Outcome;
use crate::ids::BackendId;
use crate::latency_trend::OVERLOAD_LATENCY_RATIO;
use crate::outlier_detection::{rejection_pause, trial_interval};
use crate::request::EndedAttempt;
use crate::state_machine::Policy;
use crate::time::Timestamp;

/// Ratio of long-term to short-term p95 latency below which new samples do not enter the long-term estimates.
const SLOWDOWN_RATIO: f64 = 2.0 * OVERLOAD_LATENCY_RATIO;

impl Policy {
    /// Records the outcome of an attempt in the estimates.
    pub(crate) fn record_outcome(&mut self, attempt: EndedAttempt) {
        let EndedAttempt { class, backend, sent_at, elapsed, outcome, .. } = attempt;
        if !self.record_backend_health(attempt) {
            return;
        }
        if outcome == Outcome::Reset {
            // The time until a reset does not measure the speed of the backend. If that time counted as a
            // latency, a backend that resets connections at once would look the fastest and attract all
            // requests.
            self.record_relative_latency(class, backend, MAX_RELATIVE_LATENCY);
            return;
        }
        let service = self.service_of(class);
        let is_lost = outcome == Outcome::Timeout && !self.pools[service].order.in_panic_mode();
        let has_run = !outcome.never_ran() && outcome != Outcome::Cancelled;
        if has_run {
            self.pools[service].means.record_attempt_time(elapsed);
        }
        if has_run && !is_lost {
            let objective = self.settings.classes[class].latency_objective;
            self.update_concurrency_limit(class, objective_fraction(elapsed, objective), sent_at);
            self.record_latency(attempt);
        }
    }

    /// Records an outcome in the health of its backend. Returns false if the backend is unknown.
    fn record_backend_health(&mut self, attempt: EndedAttempt) -> bool {
        let EndedAttempt { class, plan, .. } = attempt;
        let now = self.now;
        let next_trial = now + trial_interval(&self.settings);
        let pause = rejection_pause(&self.settings);
        let service = self.service_of(class);
        let Some(backend) = self.backends.get_mut(attempt.backend) else { return false };
        match attempt.outcome {
            Outcome::Rejected => backend.health.record_rejection(class, plan, now + pause),
            Outcome::ConnectFailed => {
                backend.health.record_connect_failure(pause, now);
                // The attempt took no capacity of the backends.
                self.pools[service].concurrency.forget_last_send();
                self.record_relative_latency(class, attempt.backend, MAX_RELATIVE_LATENCY);
            }
            Outcome::NotStarted => self.pools[service].concurrency.forget_last_send(),
            Outcome::Ok => backend.health.record_success(class, now),
            Outcome::Error => backend.health.record_error(class, now, next_trial),
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled | Outcome::NotSent => {}
        }
        true
    }

    /// Records the latency of an attempt that a backend executed.
    fn record_latency(&mut self, attempt: EndedAttempt) {
        let EndedAttempt { class, backend, elapsed, outcome, .. } = attempt;
        let service = self.service_of(class);
        let pool = &mut self.pools[service];
        pool.means.record_latency(elapsed);
        let is_early = pool.concurrency.is_early();
        let stats = &mut self.class_stats[class];
        let relative = stats.relative_latency(elapsed).clamp(MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
        let is_long_term_sample = self.latency_trend.add_sample(relative, is_early, SLOWDOWN_RATIO, self.now);
        if outcome == Outcome::Ok {
            if is_long_term_sample {
                stats.record_latency(elapsed);
            }
            pool.answer_rate.record_answer();
        }
        self.record_relative_latency(class, backend, relative);
    }

    /// Records a latency of a backend, relative to the mean of its class.
    pub(crate) fn record_relative_latency(&mut self, class: usize, backend: BackendId, relative: f64) {
        let service = self.service_of(class);
        let Some(backend) = self.backends.get_mut(backend) else { return };
        if backend.latency.record_sample(relative, self.now) == SampleKind::Representative {
            self.pools[service].means.record_representative_sample(relative);
        }
    }

    /// Updates the concurrency limit of the service of a class with a latency, given as a fraction of the
    /// latency objective.
    pub(crate) fn update_concurrency_limit(
        &mut self,
        class: usize,
        objective_fraction: f64,
        sent_at: Timestamp,
    ) {
        let service = self.service_of(class);
        let pool = &mut self.pools[service];
        let capacity = Capacity::of(self.settings.gatekeepers, pool.order.ready().len());
        pool.concurrency.record_latency(objective_fraction, sent_at, capacity, self.now);
    }
}
