//! Estimates of latency, warm-up and rates that the decisions are made by: no decision itself.

use crate::event::Outcome;
use crate::ids::BackendId;
use crate::state::{Backend, EndedAttempt};
use crate::state_machine::Policy;
use crate::time::{Micros, SECOND, Timestamp};

/// Long-term over short-term p95 latency below which the backends are overloaded (the design).
pub(crate) const MIN_LATENCY_RATIO: f64 = 0.3;
/// Relative latency up to which a backend counts as good, and bounds of what is recorded.
pub(crate) const GOOD_LATENCY: f64 = 1.5;
pub(crate) const WORST_LATENCY: f64 = 20.0;
const BEST_LATENCY: f64 = 0.05;
/// s; memory of a backend's relative latency, and the part of it from which a contact counts as a first one.
const LATENCY_MEMORY: f64 = 10.0;
const FIRST_CONTACT_AGE: f64 = 0.3;
/// Weight of one sample: in the latency of first contacts; in that of a backend, at once and added with its age.
const FIRST_CONTACT_WEIGHT: f64 = 0.1;
const LATENCY_WEIGHT: f64 = 0.1;
const AGED_LATENCY_WEIGHT: f64 = 0.2;
/// Weight of one attempt in the mean latency and in the mean time of an attempt.
const MEAN_WEIGHT: f64 = 0.05;
/// Weight of one answer in the mean latency of its class.
const CLASS_LATENCY_WEIGHT: f64 = 0.02;
/// Weight of a second in the measured rate of answers.
const RATE_WEIGHT: f64 = 0.2;

impl Policy {
    /// Long-term over short-term p95 of latency over the mean of its class, 1 until both are valid.
    pub(crate) fn latency_ratio(&self) -> f64 {
        self.latency_trend.ratio(self.now).unwrap_or(1.0)
    }

    /// Expected latency over the mean of its class. A backend's own latency counts by its age; what is unknown is
    /// assumed to be as bad as first contacts lately were: while many are bad, known good ones go first.
    pub(crate) fn expected_latency(&self, backend: &Backend) -> f64 {
        let age = (self.now - backend.latency_updated_at) as f64;
        let freshness = (-age / SECOND / LATENCY_MEMORY).exp();
        let first_contact = self.pool.first_contact_latency.max(1.0);
        first_contact + (backend.relative_latency - first_contact) * freshness
    }

    /// Records a backend's relative latency. Later contacts to a bad backend tell nothing about unknown ones.
    pub(crate) fn record_relative_latency(&mut self, backend: BackendId, relative: f64) {
        let Some(backend) = self.backends.get_mut(&backend) else { return };
        let age = (self.now - backend.latency_updated_at) as f64;
        let age = (age / SECOND / LATENCY_MEMORY).min(1.0);
        if age > FIRST_CONTACT_AGE && backend.relative_latency < GOOD_LATENCY {
            let first_contact = &mut self.pool.first_contact_latency;
            *first_contact += FIRST_CONTACT_WEIGHT * (relative - *first_contact);
        }
        let weight = LATENCY_WEIGHT + AGED_LATENCY_WEIGHT * age;
        backend.relative_latency += weight * (relative - backend.relative_latency);
        backend.latency_updated_at = self.now;
    }

    /// Records the time for which an attempt was in flight, however it ended.
    pub(crate) fn record_attempt_time(&mut self, elapsed: Micros) {
        self.pool.mean_attempt_time += MEAN_WEIGHT * (elapsed as f64 - self.pool.mean_attempt_time);
    }

    /// Records the latency of an attempt that ran.
    pub(crate) fn record_latency(&mut self, attempt: EndedAttempt) {
        let elapsed = attempt.elapsed as f64;
        self.pool.mean_latency += MEAN_WEIGHT * (elapsed - self.pool.mean_latency);
        let is_early = self.pool.objective_part < Self::EARLY_PART;
        let stats = &mut self.class_stats[attempt.class];
        let relative = (elapsed / stats.mean_latency).clamp(BEST_LATENCY, WORST_LATENCY);
        let is_normal = self.latency_trend.add(relative, is_early, 2.0 * MIN_LATENCY_RATIO, self.now);
        if attempt.outcome == Outcome::Ok {
            if is_normal {
                stats.mean_latency += CLASS_LATENCY_WEIGHT * (elapsed - stats.mean_latency);
            }
            self.pool.answers += 1;
        }
        self.record_relative_latency(attempt.backend, relative);
    }

    /// The share of its capacity that a backend certainly has: the slowest warm-up that the settings allow.
    pub(crate) fn warmth(&self, backend: &Backend) -> f64 {
        let (duration, share) = (self.settings.slow_start_duration, self.settings.slow_start_share);
        let started = self.start_times.start_of(backend, self.now).max(backend.readmitted_at);
        if started == Timestamp::ZERO || duration == 0 {
            return 1.0;
        }
        let age = self.now.saturating_since(started) as f64 / duration as f64;
        (share + (1.0 - share) * age).min(1.0)
    }

    /// Measures what a warm backend carries, the guide to what one in slow start can: answers a second of this gatekeeper for each
    /// warm backend, or its part of one request at a time with nothing known. Returns the seconds since the last time.
    pub(crate) fn measure_rates(&mut self) -> f64 {
        let seconds = self.now.seconds_since(self.pool.measured_at);
        let warmth: f64 = self.ready_backends().map(|backend| self.warmth(backend)).sum();
        let pool = &mut self.pool;
        let rate = pool.answers as f64 / warmth.max(1.0) / seconds;
        pool.measured_rate += (RATE_WEIGHT * seconds).min(1.0) * (rate - pool.measured_rate);
        (pool.answers, pool.measured_at) = (0, self.now);
        // Bad first contacts are forgotten, or what was bad once would never be tried again.
        let forgotten = (seconds / LATENCY_MEMORY).min(1.0);
        pool.first_contact_latency += (1.0 - pool.first_contact_latency) * forgotten;
        let one_at_a_time = SECOND / pool.mean_latency / f64::from(self.settings.gatekeepers);
        pool.assumed_rate = pool.measured_rate.max(one_at_a_time);
        seconds
    }
}
