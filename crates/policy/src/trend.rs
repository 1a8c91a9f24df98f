//! The ratio of long-term to short-term p95 of latency: an estimate, no decision.

use crate::interface::Micros;
use crate::p2::P2;
use serde::{Deserialize, Serialize};

/// The quantile of both latency estimates (the design).
const QUANTILE: f64 = 0.95;
/// Samples and us that make a short-term estimate; samples that make the long-term one warm.
const SHORT_SAMPLES: u64 = 20;
const SHORT_SPAN: Micros = 1_000_000;
/// us; how long a short-term estimate counts: a gateway may see but a few answers a second.
const SHORT_KEPT: Micros = 10_000_000;
const LONG_WARM: u64 = 100;

/// Short- and long-term p95 of latency.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Trend {
    short: P2,
    short_since: Micros,
    short_value: Option<(f64, Micros)>,
    long: P2,
}

impl Trend {
    pub(crate) fn new(now: Micros) -> Self {
        Self { short: P2::new(QUANTILE), short_since: now, short_value: None, long: P2::new(QUANTILE) }
    }

    /// Takes in a sample; tells whether it feeds the long-term estimate. A lasting slowdown, a ratio below `slow`, must not
    /// become the new normal, unless its answers still come early.
    pub(crate) fn add(&mut self, sample: f64, early: bool, slow: f64, now: Micros) -> bool {
        self.short.add(sample);
        if self.short.count() >= SHORT_SAMPLES && now >= self.short_since + SHORT_SPAN {
            self.short_value = self.short.value().map(|value| (value, now));
            (self.short, self.short_since) = (P2::new(QUANTILE), now);
        }
        if !early && self.ratio(now).is_some_and(|r| r < slow) {
            return false;
        }
        self.long.add(sample);
        true
    }

    pub(crate) fn ratio(&self, now: Micros) -> Option<f64> {
        let (short, at) = self.short_value?;
        let long = self.long.value().filter(|_| self.long.count() >= LONG_WARM)?;
        (now < at + SHORT_KEPT && short > 0.0).then(|| (long / short).min(1.0))
    }
}
