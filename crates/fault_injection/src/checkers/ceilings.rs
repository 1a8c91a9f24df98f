//! Checks the hard ceilings of tenants.

use super::rules::{Admission, Excess, HARD_CEILING, largest_excess};
use super::{Bounds, Ceiling, Violation};
use crate::history::{Observation, Record};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The slack of a ceiling, as a share of its burst.
const BURST_SLACK: f64 = 0.1;

/// Checks that no tenant exceeds its hard ceiling by more than the slack. A request counts when its first attempt arrives at a
/// backend.
pub fn hard_ceilings(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let start = history.first().map_or(Duration::ZERO, |record| Duration::from_micros(record.at_us));
    let late_ms = attempts_late_ms(history, bounds);
    let admissions = admissions_by_tenant(history, bounds);
    let violations = admissions.into_iter().filter_map(|(tenant, admissions)| {
        let Ceiling { units_per_second, burst, .. } = bounds.ceilings[tenant];
        let slack = slack(&bounds.ceilings[tenant], late_ms);
        let Excess { time, units, allowed } =
            largest_excess(units_per_second, burst, &admissions, |_| slack)?;
        let at_ms = (time - start).as_millis();
        let text =
            format!("{tenant} is {units:.1} units past its ceiling at {at_ms} ms, {allowed:.1} allowed");
        Some(Violation::new(HARD_CEILING, text))
    });
    violations.collect()
}

/// Maximum delay in ms until an attempt is recorded at its backend. Over a degraded link it may arrive up to the deadline later.
fn attempts_late_ms(history: &[Record], bounds: &Bounds) -> u64 {
    let is_degraded =
        history.iter().any(|r| matches!(r.observation, Observation::Fault { delays_attempts: true, .. }));
    bounds.tolerance_ms + if is_degraded { bounds.deadline_ms } else { 0 }
}

/// Units by which a ceiling may be exceeded if attempts are recorded up to `late_ms` late.
fn slack(ceiling: &Ceiling, late_ms: u64) -> f64 {
    let &Ceiling { units_per_second, burst, largest_request } = ceiling;
    (BURST_SLACK * burst).max(largest_request) + units_per_second * late_ms as f64 / 1_000.0
}

/// The first attempts of the requests of each tenant that has a ceiling.
fn admissions_by_tenant<'a>(history: &'a [Record], bounds: &Bounds) -> BTreeMap<&'a str, Vec<Admission>> {
    let mut unattempted: HashMap<u64, (&str, f64)> = HashMap::new();
    let mut admissions: BTreeMap<&str, Vec<Admission>> = BTreeMap::new();
    for record in history {
        match &record.observation {
            Observation::RequestSent { request_id, tenant, units, .. } => {
                unattempted.insert(*request_id, (tenant, *units));
            }
            Observation::AttemptArrived { request_id, .. } => {
                // Later attempts of the request find no entry and are not counted.
                let Some((tenant, units)) = unattempted.remove(request_id) else { continue };
                if bounds.ceilings.contains_key(tenant) {
                    let time = Duration::from_micros(record.at_us);
                    admissions.entry(tenant).or_default().push(Admission { time, units });
                }
            }
            _ => {}
        }
    }
    admissions
}
