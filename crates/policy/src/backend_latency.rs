//! Estimates the latency of one backend relative to the mean of the class. The estimate decays as it ages.

use crate::stored::StoredBackend;
use crate::time::Timestamp;

/// Relative latency below which a backend counts as good.
pub(crate) const GOOD_RELATIVE_LATENCY: f64 = 1.5;
/// Bounds of a recorded relative latency.
pub(crate) const MAX_RELATIVE_LATENCY: f64 = 20.0;
pub(crate) const MIN_RELATIVE_LATENCY: f64 = 0.05;
/// Time constant in seconds of the decay of a backend's relative latency.
pub(crate) const LATENCY_DECAY_SECONDS: f64 = 10.0;
/// Age above which a backend's latency estimate is old, as a fraction of [`LATENCY_DECAY_SECONDS`]. The next
/// sample of a backend with an old and good estimate is of kind [`SampleKind::Representative`].
const OLD_ESTIMATE_AGE: f64 = 0.3;
/// Weight of one latency sample; [`AGED_SAMPLE_WEIGHT`] is added in proportion to the age of the estimate.
const SAMPLE_WEIGHT: f64 = 0.1;
const AGED_SAMPLE_WEIGHT: f64 = 0.2;

/// Whether a latency sample is representative of backends without a recent latency estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SampleKind {
    /// First sample of a backend whose latency estimate had become old and was good. Such a sample is
    /// representative of other backends without a recent estimate.
    Representative,
    /// Sample of a backend whose latency estimate was recent or bad, not representative of other backends.
    Unrepresentative,
}

/// Estimate of one backend's latency relative to the mean of the class, and the time of its last update.
#[derive(Clone, Debug)]
pub(crate) struct BackendLatency {
    relative_latency: f64,
    updated_at: Timestamp,
}

impl BackendLatency {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self { relative_latency: 1.0, updated_at: now }
    }

    /// Expected latency relative to the mean of the class. As the estimate ages, it approaches
    /// `representative_latency`, the mean over recent samples of kind [`SampleKind::Representative`] of all
    /// backends, so that backends known to be good are preferred while many others are slow.
    pub(crate) fn expected_relative_latency(&self, representative_latency: f64, now: Timestamp) -> f64 {
        let freshness = (-now.seconds_since(self.updated_at) / LATENCY_DECAY_SECONDS).exp();
        let assumed = representative_latency.max(1.0);
        assumed + (self.relative_latency - assumed) * freshness
    }

    /// Adds a sample of the relative latency, and returns the kind of the sample.
    pub(crate) fn record_sample(&mut self, relative_latency: f64, now: Timestamp) -> SampleKind {
        let age = (now.seconds_since(self.updated_at) / LATENCY_DECAY_SECONDS).min(1.0);
        let is_representative = age > OLD_ESTIMATE_AGE && self.relative_latency < GOOD_RELATIVE_LATENCY;
        let weight = SAMPLE_WEIGHT + AGED_SAMPLE_WEIGHT * age;
        self.relative_latency += weight * (relative_latency - self.relative_latency);
        self.updated_at = now;
        if is_representative { SampleKind::Representative } else { SampleKind::Unrepresentative }
    }

    pub(crate) fn store(&self, stored: &mut StoredBackend) {
        stored.relative_latency = self.relative_latency;
        stored.latency_updated_at = self.updated_at;
    }

    pub(crate) fn restore(stored: &StoredBackend, now: Timestamp) -> Self {
        Self { relative_latency: stored.relative_latency, updated_at: stored.latency_updated_at.min(now) }
    }
}

#[cfg(test)]
mod tests;
