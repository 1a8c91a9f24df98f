//! Hard ceilings of tenants.

use super::rules::HARD_CEILING;
use super::{Bounds, Ceiling, TokenBucket, Violation};
use crate::history::{Observation, Record};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The slack of a ceiling, as a share of its burst.
const BURST_SLACK: f64 = 0.1;

/// The lowest level of a tenant's bucket, and when it had that.
struct CeilingCheck {
    ceiling: Ceiling,
    bucket: TokenBucket,
    lowest_level: f64,
    lowest_us: u64,
}

impl CeilingCheck {
    fn new(ceiling: Ceiling, at_us: u64) -> Self {
        let bucket = TokenBucket::full(ceiling.units_per_second, ceiling.burst, Duration::from_micros(at_us));
        Self { ceiling, bucket, lowest_level: f64::MAX, lowest_us: 0 }
    }

    fn take(&mut self, units: f64, at_us: u64) {
        let level = self.bucket.take(units, Duration::from_micros(at_us));
        if level < self.lowest_level {
            (self.lowest_level, self.lowest_us) = (level, at_us);
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
    // How late an attempt may be recorded at its backend: over a degraded link up to the deadline.
    let is_degraded =
        history.iter().any(|r| matches!(r.observation, Observation::Fault { delays_attempts: true, .. }));
    let late_ms = bounds.tolerance_ms + if is_degraded { bounds.deadline_ms } else { 0 };
    let violation = |(tenant, check): (&str, CeilingCheck)| {
        let slack = check.slack(late_ms);
        let text = || {
            let ms = (check.lowest_us - begin_us) / 1_000;
            let excess = -check.lowest_level;
            format!("{tenant} is {excess:.1} units past its ceiling at {ms} ms, {slack:.1} allowed")
        };
        (-check.lowest_level > slack).then(|| Violation::new(HARD_CEILING, text()))
    };
    ceiling_checks(history, bounds).into_iter().filter_map(violation).collect()
}

/// Each tenant that has a ceiling, after all first attempts.
fn ceiling_checks<'a>(history: &'a [Record], bounds: &Bounds) -> BTreeMap<&'a str, CeilingCheck> {
    let mut sent: HashMap<u64, (&str, f64)> = HashMap::new();
    let mut checks: BTreeMap<&str, CeilingCheck> = BTreeMap::new();
    for record in history {
        match &record.observation {
            Observation::RequestSent { request_id, tenant, units, .. } => {
                sent.insert(*request_id, (tenant, *units));
            }
            Observation::AttemptArrived { request_id, .. } => {
                // Only the first attempt counts.
                let Some((tenant, units)) = sent.remove(request_id) else { continue };
                let Some(ceiling) = bounds.ceilings.get(tenant) else { continue };
                let check = checks.entry(tenant).or_insert_with(|| CeilingCheck::new(*ceiling, record.at_us));
                check.take(units, record.at_us);
            }
            _ => {}
        }
    }
    checks
}
