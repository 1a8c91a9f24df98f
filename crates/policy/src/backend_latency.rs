//! The latency of one backend relative to the mean of its class: an estimate that is forgotten as it ages, no decision.

use crate::stored::StoredBackend;
use crate::time::Timestamp;

/// Relative latency up to which a backend counts as good.
pub(crate) const GOOD_LATENCY: f64 = 1.5;
/// Bounds of the relative latency that is recorded.
pub(crate) const WORST_LATENCY: f64 = 20.0;
pub(crate) const BEST_LATENCY: f64 = 0.05;
/// Seconds; memory of a backend's relative latency.
pub(crate) const LATENCY_MEMORY: f64 = 10.0;
/// Part of the memory after which a contact counts as a first one.
const FIRST_CONTACT_AGE: f64 = 0.3;
/// Weight of one sample, and what is added to it with the age of the estimate.
const SAMPLE_WEIGHT: f64 = 0.1;
const AGED_SAMPLE_WEIGHT: f64 = 0.2;

/// Whether a sample tells something about backends that are not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// Little was known of the backend.
    First,
    /// Further contacts to a bad backend tell nothing about unknown ones.
    Further,
}

/// Relative latency and the moment of its last update.
#[derive(Clone, Debug)]
pub(crate) struct BackendLatency {
    relative: f64,
    updated_at: Timestamp,
}

impl BackendLatency {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self { relative: 1.0, updated_at: now }
    }

    /// Expected latency over the mean of the class. What is forgotten is assumed to be as bad as first contacts lately were: while
    /// many backends are bad, known good ones go first.
    pub(crate) fn expected(&self, first_contact: f64, now: Timestamp) -> f64 {
        let freshness = (-now.seconds_since(self.updated_at) / LATENCY_MEMORY).exp();
        let assumed = first_contact.max(1.0);
        assumed + (self.relative - assumed) * freshness
    }

    /// Adds a sample.
    pub(crate) fn record(&mut self, relative: f64, now: Timestamp) -> Contact {
        let age = (now.seconds_since(self.updated_at) / LATENCY_MEMORY).min(1.0);
        let is_first = age > FIRST_CONTACT_AGE && self.relative < GOOD_LATENCY;
        let weight = SAMPLE_WEIGHT + AGED_SAMPLE_WEIGHT * age;
        self.relative += weight * (relative - self.relative);
        self.updated_at = now;
        if is_first { Contact::First } else { Contact::Further }
    }

    pub(crate) fn store(&self, stored: &mut StoredBackend) {
        stored.relative_latency = self.relative;
        stored.latency_updated_at = self.updated_at;
    }

    pub(crate) fn restore(stored: &StoredBackend, now: Timestamp) -> Self {
        Self { relative: stored.relative_latency, updated_at: stored.latency_updated_at.min(now) }
    }
}

#[cfg(test)]
mod tests;
