//! What is learnt of one class of requests.

use serde::{Deserialize, Serialize};

/// Mean latency of a class in microseconds, and the largest cost of a settled request in units.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ClassStats {
    pub(crate) mean_latency: f64,
    pub(crate) largest_cost: f64,
}
