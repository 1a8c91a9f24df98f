//! Estimates the ratio of long-term to short-term p95 latency, which falls while latency is above its usual
//! level.

use crate::quantile::P2Quantile;
use crate::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};

/// Ratio of long-term to short-term p95 latency below which the backends count as overloaded.
pub(crate) const OVERLOAD_LATENCY_RATIO: f64 = 0.3;
/// The quantile of both latency estimates.
const LATENCY_QUANTILE: f64 = 0.95;
/// Minimum number of samples, and minimum microseconds, for one short-term estimate.
const SHORT_TERM_SAMPLES: u64 = 20;
const SHORT_TERM_DURATION: Micros = 1_000_000;
/// Microseconds for which a short-term estimate is valid. A gatekeeper may get only a few answers a second.
const SHORT_TERM_EXPIRY: Micros = 10_000_000;
/// Minimum number of samples for a valid long-term estimate.
const LONG_TERM_SAMPLES: u64 = 100;

/// Short- and long-term p95 latency. Snapshots encode the fields by position, so their order must not change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LatencyTrend {
    short_term: P2Quantile,
    short_term_since: Timestamp,
    /// The last complete short-term estimate, and the time of its completion.
    estimate: Option<(f64, Timestamp)>,
    long_term: P2Quantile,
}

impl LatencyTrend {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            short_term: P2Quantile::new(LATENCY_QUANTILE),
            short_term_since: now,
            estimate: None,
            long_term: P2Quantile::new(LATENCY_QUANTILE),
        }
    }

    /// Applies `change` to the times at which the current short-term estimate began and the last one ended.
    pub(crate) fn change_times(&mut self, change: impl Fn(&mut Timestamp)) {
        change(&mut self.short_term_since);
        if let Some((_, estimated_at)) = &mut self.estimate {
            change(estimated_at);
        }
    }

    /// Adds a sample. Returns whether it was also added to the long-term estimate. A lasting slowdown, in
    /// which the ratio is below `slow_ratio`, is kept out of the long-term estimate, unless answers still
    /// meet their latency objective (`on_time`).
    pub(crate) fn add_sample(&mut self, sample: f64, on_time: bool, slow_ratio: f64, now: Timestamp) -> bool {
        self.short_term.add(sample);
        if self.short_term.count() >= SHORT_TERM_SAMPLES && now >= self.short_term_since + SHORT_TERM_DURATION
        {
            self.estimate = self.short_term.value().map(|value| (value, now));
            self.short_term = P2Quantile::new(LATENCY_QUANTILE);
            self.short_term_since = now;
        }
        if !on_time && self.ratio(now).is_some_and(|ratio| ratio < slow_ratio) {
            return false;
        }
        self.long_term.add(sample);
        true
    }

    /// Long-term over short-term p95 latency, at most 1; `None` unless both estimates are valid.
    pub(crate) fn ratio(&self, now: Timestamp) -> Option<f64> {
        let (short_term, estimated_at) = self.estimate?;
        let long_term = self.long_term.value().filter(|_| self.long_term.count() >= LONG_TERM_SAMPLES)?;
        (now < estimated_at + SHORT_TERM_EXPIRY && short_term > 0.0)
            .then(|| (long_term / short_term).min(1.0))
    }
}
