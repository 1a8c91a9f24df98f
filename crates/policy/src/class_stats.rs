//! Estimates of each class of requests: latency and cost. No decision.

use crate::settings::RequestClass;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// Part of the latency objective that is assumed as the mean latency before any answer.
pub(crate) const INITIAL_LATENCY_PART: f64 = 0.2;
/// Weight of one answer in the running mean of the latency.
const LATENCY_WEIGHT: f64 = 0.02;

/// Estimates of one class. The order of the fields is part of the form of a snapshot.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ClassStats {
    /// Mean latency in microseconds.
    mean_latency: f64,
    /// The largest cost of a settled request in units.
    largest_cost: f64,
}

impl ClassStats {
    pub(crate) fn new(class: &RequestClass) -> Self {
        Self { mean_latency: class.latency_objective as f64 * INITIAL_LATENCY_PART, largest_cost: 1.0 }
    }

    /// A latency as a multiple of the mean of the class.
    pub(crate) fn relative_latency(&self, elapsed: Micros) -> f64 {
        elapsed as f64 / self.mean_latency
    }

    pub(crate) fn record_latency(&mut self, elapsed: Micros) {
        self.mean_latency += LATENCY_WEIGHT * (elapsed as f64 - self.mean_latency);
    }

    pub(crate) fn largest_cost(&self) -> f64 {
        self.largest_cost
    }

    /// Records the actual cost of a request. No cost above `max_cost` is expected.
    pub(crate) fn record_cost(&mut self, units: f64, max_cost: f64) {
        self.largest_cost = self.largest_cost.max(units).min(max_cost);
    }
}
