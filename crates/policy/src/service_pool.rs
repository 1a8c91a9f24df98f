//! State of all backends of one service: preference order, concurrency limit, and running means over their
//! attempts.

use crate::backend_latency::LATENCY_DECAY_SECONDS;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::hash::mix;
use crate::ids::BackendId;
use crate::settings::Settings;
use crate::stored::StoredPool;
use crate::time::{Micros, SECOND, Timestamp};

/// Target number of gatekeepers that prefer the same backend in a large tier. With a subset of the backends,
/// each gatekeeper holds fewer connections and has better estimates of its backends.
const GATEKEEPERS_PER_BACKEND: f64 = 12.0;
/// Minimum size of a gatekeeper's subset of backends, which leaves enough backends when a zone fails during a
/// release.
const MIN_SUBSET_SIZE: usize = 8;
/// Weight of one sample in the running means of latency, attempt time and cost.
const MEAN_WEIGHT: f64 = 0.05;
/// Weight of one sample in the running mean of the relative latency over samples of kind
/// [`SampleKind::Representative`](crate::backend_latency::SampleKind::Representative).
const REPRESENTATIVE_SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of one second in the running mean of the answer rate.
const RATE_WEIGHT: f64 = 0.2;

/// State of the backends of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServicePool {
    pub(crate) order: PreferenceOrder,
    pub(crate) concurrency: ConcurrencyLimit,
    pub(crate) means: PoolMeans,
    pub(crate) answer_rate: AnswerRate,
}

impl ServicePool {
    /// A pool without backends. `latency` is the initial mean latency in microseconds.
    pub(crate) fn new(latency: f64, now: Timestamp) -> Self {
        Self {
            order: PreferenceOrder::default(),
            concurrency: ConcurrencyLimit::new(),
            means: PoolMeans::new(latency),
            answer_rate: AnswerRate::new(now),
        }
    }

    pub(crate) fn store(&self) -> StoredPool {
        let mut stored = StoredPool::default();
        self.order.store(&mut stored);
        self.concurrency.store(&mut stored);
        self.means.store(&mut stored);
        self.answer_rate.store(&mut stored);
        stored
    }

    pub(crate) fn restore(stored: StoredPool, now: Timestamp) -> Self {
        Self {
            concurrency: ConcurrencyLimit::restore(&stored, now),
            means: PoolMeans::restore(&stored),
            answer_rate: AnswerRate::restore(&stored, now),
            order: PreferenceOrder::restore(stored),
        }
    }
}

/// The ready backends in this gatekeeper's own order of preference.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreferenceOrder {
    ready: Vec<BackendId>,
    /// Number of backends at the start of the order that this gatekeeper prefers: its subset.
    subset_size: usize,
    /// Whether requests are distributed by size, and sizes differ.
    has_uneven_sizes: bool,
    /// Whether ejections are ignored, because more than half of the backends are ejected and share the cause.
    in_panic_mode: bool,
}

/// A ready backend and its size.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SizedBackend {
    pub(crate) id: BackendId,
    pub(crate) size: f64,
}

impl PreferenceOrder {
    /// Sorts the ready backends by a hash of gatekeeper and backend, so that subsets differ between
    /// gatekeepers.
    pub(crate) fn set_backends(&mut self, mut backends: Vec<SizedBackend>, settings: &Settings) {
        let seed = mix(u64::from(settings.gatekeeper_index));
        backends.sort_by_key(|backend| mix(seed ^ u64::from(backend.id.0)));
        self.ready = backends.iter().map(|backend| backend.id).collect();
        let share = (GATEKEEPERS_PER_BACKEND / f64::from(settings.gatekeepers)).min(1.0);
        let subset = self.ready.len() as f64 * share;
        self.subset_size = (subset.ceil() as usize).max(MIN_SUBSET_SIZE);
        let mut sizes = backends.iter().map(|backend| backend.size);
        let first = sizes.next();
        let is_uneven = sizes.any(|size| Some(size) != first);
        self.has_uneven_sizes = settings.weighted_backends && is_uneven;
    }

    /// The ready backends, in this gatekeeper's order of preference.
    pub(crate) fn ready(&self) -> &[BackendId] {
        &self.ready
    }

    pub(crate) fn subset_size(&self) -> usize {
        self.subset_size
    }

    /// Size of this gatekeeper's subset as a fraction of the ready backends; above 1 if fewer backends are
    /// ready than the subset should have.
    pub(crate) fn subset_fraction(&self) -> f64 {
        self.subset_size as f64 / self.ready.len().max(1) as f64
    }

    pub(crate) fn has_uneven_sizes(&self) -> bool {
        self.has_uneven_sizes
    }

    pub(crate) fn in_panic_mode(&self) -> bool {
        self.in_panic_mode
    }

    /// Enters panic mode if more than half of the ready backends are ejected, and leaves it otherwise. The
    /// cause of so many ejections is common to the backends.
    pub(crate) fn update_panic_mode(&mut self, ejected: usize) {
        self.in_panic_mode = ejected * 2 > self.ready.len();
    }

    fn store(&self, stored: &mut StoredPool) {
        stored.ready.clone_from(&self.ready);
        stored.subset_size = self.subset_size;
        stored.has_uneven_sizes = self.has_uneven_sizes;
        stored.in_panic_mode = self.in_panic_mode;
    }

    fn restore(stored: StoredPool) -> Self {
        Self {
            ready: stored.ready,
            subset_size: stored.subset_size,
            has_uneven_sizes: stored.has_uneven_sizes,
            in_panic_mode: stored.in_panic_mode,
        }
    }
}

/// Running means over the attempts of one service.
#[derive(Clone, Debug)]
pub(crate) struct PoolMeans {
    /// Latency of attempts that were executed, in microseconds.
    latency: f64,
    /// Duration of an attempt in microseconds, whether or not it was answered.
    attempt_time: f64,
    /// Cost of an admitted request in units.
    cost: f64,
    /// Mean relative latency over samples of kind
    /// [`SampleKind::Representative`](crate::backend_latency::SampleKind::Representative).
    representative_latency: f64,
}

impl PoolMeans {
    fn new(latency: f64) -> Self {
        Self { latency, attempt_time: latency, cost: 0.0, representative_latency: 0.0 }
    }

    pub(crate) fn latency(&self) -> f64 {
        self.latency
    }

    /// Mean time of an attempt in seconds.
    pub(crate) fn attempt_seconds(&self) -> f64 {
        self.attempt_time / SECOND
    }

    pub(crate) fn cost(&self) -> f64 {
        self.cost
    }

    pub(crate) fn representative_latency(&self) -> f64 {
        self.representative_latency
    }

    pub(crate) fn record_latency(&mut self, elapsed: Micros) {
        self.latency += MEAN_WEIGHT * (elapsed as f64 - self.latency);
    }

    pub(crate) fn record_attempt_time(&mut self, elapsed: Micros) {
        self.attempt_time += MEAN_WEIGHT * (elapsed as f64 - self.attempt_time);
    }

    pub(crate) fn record_cost(&mut self, cost: f64) {
        self.cost += MEAN_WEIGHT * (cost - self.cost);
    }

    pub(crate) fn record_representative_sample(&mut self, relative_latency: f64) {
        self.representative_latency +=
            REPRESENTATIVE_SAMPLE_WEIGHT * (relative_latency - self.representative_latency);
    }

    /// Decays the mean relative latency of samples of kind
    /// [`SampleKind::Representative`](crate::backend_latency::SampleKind::Representative) towards 1 for the
    /// `seconds` that have passed. This mean is the expected latency of a backend without a recent estimate.
    /// If the mean stayed high after a few slow samples, the backends without a recent estimate would never
    /// be tried again.
    pub(crate) fn decay_representative_latency(&mut self, seconds: f64) {
        let decay = (seconds / LATENCY_DECAY_SECONDS).min(1.0);
        self.representative_latency += (1.0 - self.representative_latency) * decay;
    }

    fn store(&self, stored: &mut StoredPool) {
        stored.mean_latency = self.latency;
        stored.mean_attempt_time = self.attempt_time;
        stored.mean_cost = self.cost;
        stored.representative_latency = self.representative_latency;
    }

    fn restore(stored: &StoredPool) -> Self {
        Self {
            latency: stored.mean_latency,
            attempt_time: stored.mean_attempt_time,
            cost: stored.mean_cost,
            representative_latency: stored.representative_latency,
        }
    }
}

/// Answers a second that this gatekeeper gets from one warm backend. The capacity of a backend in slow start
/// is estimated from this rate.
#[derive(Clone, Debug)]
pub(crate) struct AnswerRate {
    /// Running mean of the measured answers a second.
    measured_rate: f64,
    /// The measured answers a second, raised to this gatekeeper's share of the rate of a
    /// backend that serves one request at a time.
    assumed_rate: f64,
    /// Answers since the answer rate was last measured.
    answers_since_measured: u64,
    measured_at: Timestamp,
}

impl AnswerRate {
    fn new(now: Timestamp) -> Self {
        Self { measured_rate: 0.0, assumed_rate: 0.0, answers_since_measured: 0, measured_at: now }
    }

    pub(crate) fn measured_at(&self) -> Timestamp {
        self.measured_at
    }

    pub(crate) fn assumed_rate(&self) -> f64 {
        self.assumed_rate
    }

    pub(crate) fn record_answer(&mut self) {
        self.answers_since_measured += 1;
    }

    /// Seconds since the answer rate was last measured.
    pub(crate) fn seconds_since_measured(&self, now: Timestamp) -> f64 {
        now.seconds_since(self.measured_at)
    }

    /// Measures the answer rate since the last measurement. `warm_fraction` is the sum of the warm fractions
    /// of all ready backends. The assumed rate is at least this gatekeeper's share of the rate of a backend
    /// that serves one request at a time.
    pub(crate) fn measure_rate(
        &mut self,
        warm_fraction: f64,
        mean_latency: f64,
        gatekeepers: u32,
        now: Timestamp,
    ) {
        let seconds = self.seconds_since_measured(now);
        let rate = self.answers_since_measured as f64 / warm_fraction.max(1.0) / seconds;
        self.measured_rate += (RATE_WEIGHT * seconds).min(1.0) * (rate - self.measured_rate);
        (self.answers_since_measured, self.measured_at) = (0, now);
        let one_at_a_time = SECOND / mean_latency / f64::from(gatekeepers);
        self.assumed_rate = self.measured_rate.max(one_at_a_time);
    }

    fn store(&self, stored: &mut StoredPool) {
        stored.measured_rate = self.measured_rate;
        stored.assumed_rate = self.assumed_rate;
        stored.answers_since_measured = self.answers_since_measured;
        stored.measured_at = self.measured_at;
    }

    fn restore(stored: &StoredPool, now: Timestamp) -> Self {
        Self {
            measured_rate: stored.measured_rate,
            assumed_rate: stored.assumed_rate,
            answers_since_measured: stored.answers_since_measured,
            measured_at: stored.measured_at.min(now),
        }
    }
}
