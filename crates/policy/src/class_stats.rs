//! Latency and cost estimates of each request class. Makes no decisions.

use crate::settings::RequestClass;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// Mean latency that is assumed before the first answer, as a fraction of the latency objective.
pub(crate) const INITIAL_LATENCY_FRACTION: f64 = 0.2;
/// Weight of one answer in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.02;

/// Latency and cost estimates of one class. Snapshots encode the fields by position, so their order must not
/// change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ClassStats {
    /// Mean latency in microseconds.
    mean_latency: f64,
    /// The largest actual cost of a request in units, initially 1.
    largest_cost: f64,
}

impl ClassStats {
    pub(crate) fn new(class: &RequestClass) -> Self {
        Self { mean_latency: class.latency_objective as f64 * INITIAL_LATENCY_FRACTION, largest_cost: 1.0 }
    }

    /// Converts the latency `elapsed` to a multiple of the mean latency of the class.
    pub(crate) fn relative_latency(&self, elapsed: Micros) -> f64 {
        elapsed as f64 / self.mean_latency
    }

    pub(crate) fn record_latency(&mut self, elapsed: Micros) {
        self.mean_latency += LATENCY_WEIGHT * (elapsed as f64 - self.mean_latency);
    }

    pub(crate) fn largest_cost(&self) -> f64 {
        self.largest_cost
    }

    /// Records the actual cost of a request. A cost above `max_cost` counts as `max_cost`.
    pub(crate) fn record_cost(&mut self, units: f64, max_cost: f64) {
        self.largest_cost = self.largest_cost.max(units).min(max_cost);
    }
}
