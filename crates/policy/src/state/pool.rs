//! The backends of one service together.

use crate::ids::BackendId;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};

/// What is known of the backends of one service together. The order of the fields is part of the form of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct BackendPool {
    /// The ready ones in this gatekeeper's own order, and how many of the first it prefers.
    pub(crate) ready: Vec<BackendId>,
    pub(crate) subset_size: usize,
    /// Work goes by size, and sizes differ.
    pub(crate) has_uneven_sizes: bool,
    /// Most are outliers at once: the cause is common, and ejections are ignored.
    pub(crate) in_panic_mode: bool,
    /// Attempts that this gatekeeper may have in flight, and when that was last reduced.
    pub(crate) concurrency_limit: f64,
    pub(crate) limit_reduced_at: Timestamp,
    pub(crate) last_send: Timestamp,
    /// Mean latency as a part of the objective, and in microseconds.
    pub(crate) objective_part: f64,
    pub(crate) mean_latency: f64,
    /// Mean time in microseconds that an attempt is in flight, however it ends, and mean cost of an admitted request.
    pub(crate) mean_attempt_time: f64,
    pub(crate) mean_cost: f64,
    /// Latency over the mean of its class at backends about which nothing was known.
    pub(crate) first_contact_latency: f64,
    /// When `objective_part` was last updated.
    pub(crate) objective_part_updated_at: Timestamp,
    /// Answers a second that one warm backend gives this gatekeeper, as measured and as assumed.
    pub(crate) measured_rate: f64,
    pub(crate) assumed_rate: f64,
    /// Answers since the rate was last measured.
    pub(crate) answers: u64,
    pub(crate) measured_at: Timestamp,
}
