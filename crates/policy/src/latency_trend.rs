//! The ratio of long-term to short-term p95 latency: an estimate, no decision.

use crate::quantile::P2Quantile;
use crate::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};

/// Ratio of long-term to short-term p95 latency below which the backends are overloaded (the design).
pub(crate) const MIN_LATENCY_RATIO: f64 = 0.3;
/// The quantile of both latency estimates (the design).
const QUANTILE: f64 = 0.95;
/// Samples and microseconds that make a short-term estimate.
const SHORT_TERM_SAMPLES: u64 = 20;
const SHORT_TERM_DURATION: Micros = 1_000_000;
/// Microseconds for which a short-term estimate is valid: a gatekeeper may see but a few answers a second.
const SHORT_TERM_EXPIRY: Micros = 10_000_000;
/// Samples from which the long-term estimate is valid.
const LONG_TERM_SAMPLES: u64 = 100;

/// Short- and long-term p95 latency. The order of the fields is part of the form of a snapshot.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LatencyTrend {
    short_term: P2Quantile,
    short_term_since: Timestamp,
    /// The last short-term estimate, and when it was made.
    estimate: Option<(f64, Timestamp)>,
    long_term: P2Quantile,
}

impl LatencyTrend {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            short_term: P2Quantile::new(QUANTILE),
            short_term_since: now,
            estimate: None,
            long_term: P2Quantile::new(QUANTILE),
        }
    }

    /// Changes all times that are kept.
    pub(crate) fn change_times(&mut self, change: impl Fn(&mut Timestamp)) {
        change(&mut self.short_term_since);
        if let Some((_, estimated_at)) = &mut self.estimate {
            change(estimated_at);
        }
    }

    /// Adds a sample; returns whether it feeds the long-term estimate. A lasting slowdown, which is a ratio below `slow_ratio`,
    /// must not become the new normal unless answers still meet their objective (`on_time`).
    pub(crate) fn add(&mut self, sample: f64, on_time: bool, slow_ratio: f64, now: Timestamp) -> bool {
        self.short_term.add(sample);
        if self.short_term.count() >= SHORT_TERM_SAMPLES && now >= self.short_term_since + SHORT_TERM_DURATION
        {
            self.estimate = self.short_term.value().map(|value| (value, now));
            self.short_term = P2Quantile::new(QUANTILE);
            self.short_term_since = now;
        }
        if !on_time && self.ratio(now).is_some_and(|ratio| ratio < slow_ratio) {
            return false;
        }
        self.long_term.add(sample);
        true
    }

    /// Long-term over short-term p95, 1 at most; none until both are valid.
    pub(crate) fn ratio(&self, now: Timestamp) -> Option<f64> {
        let (short_term, estimated_at) = self.estimate?;
        let long_term = self.long_term.value().filter(|_| self.long_term.count() >= LONG_TERM_SAMPLES)?;
        (now < estimated_at + SHORT_TERM_EXPIRY && short_term > 0.0)
            .then(|| (long_term / short_term).min(1.0))
    }
}
