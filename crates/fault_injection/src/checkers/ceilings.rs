//! Hard ceilings of tenants.

use super::{Bounds, Ceiling, Violation};
use crate::history::{Observation, Record};
use std::collections::{BTreeMap, HashMap};

const RULE: &str = "hard ceiling";
/// The slack of a ceiling, as a share of its burst.
const BURST_SLACK: f64 = 0.1;

/// A token bucket that is filled at the ceiling's rate. Its level is below 0 by what passed the ceiling.
struct TokenBucket {
    ceiling: Ceiling,
    level: f64,
    updated_us: u64,
    lowest_level: f64,
    lowest_us: u64,
}

impl TokenBucket {
    fn full(ceiling: Ceiling, at_us: u64) -> Self {
        Self { ceiling, level: ceiling.burst, updated_us: at_us, lowest_level: f64::MAX, lowest_us: 0 }
    }

    fn take(&mut self, units: f64, at_us: u64) {
        let refill = self.ceiling.units_per_second * (at_us - self.updated_us) as f64 / 1e6;
        self.level = (self.level + refill).min(self.ceiling.burst) - units;
        self.updated_us = at_us;
        if self.level < self.lowest_level {
            (self.lowest_level, self.lowest_us) = (self.level, at_us);
        }
    }

    /// What may pass the ceiling, where attempts are seen late by up to this.
    fn slack(&self, late_ms: u64) -> f64 {
        let Ceiling { units_per_second, burst, largest_request } = self.ceiling;
        (BURST_SLACK * burst).max(largest_request) + units_per_second * late_ms as f64 / 1_000.0
    }
}

/// No tenant passes its hard ceiling, counted where first attempts arrive, by more than the slack.
pub fn hard_ceilings(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let begin_us = history.first().map_or(0, |record| record.at_us);
    // An attempt under way is seen late by so much; over a degraded link for as long as its sender waits.
    let is_degraded =
        history.iter().any(|r| matches!(r.observation, Observation::Fault { delays_attempts: true, .. }));
    let late_ms = bounds.tolerance_ms + if is_degraded { bounds.deadline_ms } else { 0 };
    let violation = |(tenant, bucket): (&str, TokenBucket)| {
        let slack = bucket.slack(late_ms);
        let text = || {
            let ms = (bucket.lowest_us - begin_us) / 1_000;
            let excess = -bucket.lowest_level;
            format!("{tenant} is {excess:.1} units past its ceiling at {ms} ms, {slack:.1} allowed")
        };
        (-bucket.lowest_level > slack).then(|| Violation { rule: RULE, text: text() })
    };
    buckets(history, bounds).into_iter().filter_map(violation).collect()
}

/// The bucket of each tenant that has a ceiling, after all first attempts.
fn buckets<'a>(history: &'a [Record], bounds: &Bounds) -> BTreeMap<&'a str, TokenBucket> {
    let mut sent: HashMap<u64, (&str, f64)> = HashMap::new();
    let mut buckets: BTreeMap<&str, TokenBucket> = BTreeMap::new();
    for record in history {
        match &record.observation {
            Observation::RequestSent { request_id, tenant, units, .. } => {
                sent.insert(*request_id, (tenant, *units));
            }
            Observation::AttemptArrived { request_id, .. } => {
                // Only the first attempt counts.
                let Some((tenant, units)) = sent.remove(request_id) else { continue };
                let Some(ceiling) = bounds.ceilings.get(tenant) else { continue };
                let bucket =
                    buckets.entry(tenant).or_insert_with(|| TokenBucket::full(*ceiling, record.at_us));
                bucket.take(units, record.at_us);
            }
            _ => {}
        }
    }
    buckets
}
