//! Checks quotas and hard ceilings against the units that all gatekeepers together forward for each tenant.

use super::attempts::first_arrivals;
use crate::history::{History, Moment, ProcessEvent, RequestNumber};
use crate::settings::{MAX_UNITS, Settings, Tenant};
use fault_harness::rules::{Admission, HARD_CEILING, largest_excess};
use fault_harness::violation::Violation;
use std::collections::HashMap;
use std::time::Duration;

/// Length of the windows over which quotas are checked.
const WINDOW: Duration = Duration::from_secs(5);
/// Time that gatekeepers need to learn the tenants' rates after a start or an outage of the counter.
const RATE_LEARNING_TIME: Duration = Duration::from_millis(1_000);
/// Multiple of its rate that a tenant may get in a window.
const RATE_FACTOR: f64 = 1.1;
/// Multiple of its rate that a tenant may get in a window around an outage of the counter, while each gatekeeper estimates how
/// much the others admit (issue 10).
const RATE_FACTOR_IN_OUTAGES: f64 = 1.5;
/// A tenant may exceed its ceiling by the units that its ceiling rate gives in this time.
const CEILING_SLACK: Duration = Duration::from_millis(150);

pub(super) fn check(history: &History, settings: &Settings) -> Vec<Violation> {
    let requests: HashMap<RequestNumber, (usize, f64)> =
        history.requests.iter().map(|request| (request.number, (request.tenant, request.units))).collect();
    let mut admissions: Vec<Vec<Admission>> = settings.tenants.iter().map(|_| Vec::new()).collect();
    for (time, number) in first_arrivals(history) {
        if let Some(&(tenant, units)) = requests.get(&number) {
            admissions[tenant].push(Admission { time, units });
        }
    }
    let tenants = settings.tenants.iter().enumerate().zip(&admissions);
    tenants
        .flat_map(|((index, tenant), admissions)| {
            let quota = check_quota(history, settings, index, tenant, admissions);
            quota.into_iter().chain(check_ceiling(history, index, tenant, admissions))
        })
        .collect()
}

/// Units allowed for processes that start around a window: each may admit its local share of one second's quota, and at least one
/// request.
fn start_allowance(history: &History, settings: &Settings, tenant: &Tenant, from: Moment) -> f64 {
    let is_start = |event: &ProcessEvent| matches!(event, ProcessEvent::Ready);
    let starts = history.processes.iter().filter(|record| {
        is_start(&record.event) && record.at + RATE_LEARNING_TIME > from && record.at < from + WINDOW
    });
    let share = (tenant.rate / settings.gatekeepers as f64).max(MAX_UNITS);
    starts.count() as f64 * share
}

/// Units allowed for outages of the counter around a window: each gatekeeper that loses or regains the counter may have admitted
/// one request that the others learn of late or never (docs/design/quotas.md).
fn outage_allowance(history: &History, from: Moment) -> f64 {
    let is_near = |at: Moment| at + RATE_LEARNING_TIME > from && at < from + WINDOW;
    let changes = history.counter_changes.iter().filter(|change| is_near(change.at));
    changes.map(|change| change.gatekeepers as f64 * MAX_UNITS).sum()
}

fn check_quota(
    history: &History,
    settings: &Settings,
    index: usize,
    tenant: &Tenant,
    admissions: &[Admission],
) -> Option<Violation> {
    let first_checked = admissions.first()?.time + RATE_LEARNING_TIME;
    let (mut sum, mut begin) = (0.0, 0);
    let mut worst: Option<(f64, Moment, f64)> = None;
    for (end, last) in admissions.iter().enumerate() {
        sum += last.units;
        while admissions[begin].time + WINDOW < last.time {
            sum -= admissions[begin].units;
            begin += 1;
        }
        let from = admissions[begin].time;
        if from < first_checked || end == begin {
            continue;
        }
        let outages = outage_allowance(history, from);
        let factor = if outages > 0.0 { RATE_FACTOR_IN_OUTAGES } else { RATE_FACTOR };
        let allowed = factor * tenant.rate * WINDOW.as_secs_f64()
            + tenant.burst
            + start_allowance(history, settings, tenant, from)
            + outages;
        if sum > allowed && worst.is_none_or(|(ratio, ..)| sum / allowed > ratio) {
            worst = Some((sum / allowed, from, sum));
        }
    }
    worst.map(|(ratio, from, sum)| {
        let text = format!(
            "tenant {index} got {sum:.0} units in {} s, {ratio:.2} times the units that its plan with a rate of {:.0} a second and a burst of {:.0} allows",
            WINDOW.as_secs(),
            tenant.rate,
            tenant.burst
        );
        Violation::new("quotas of all processes together", text).at(from)
    })
}

/// Checks that a token bucket with the ceiling's rate and burst is never overdrawn by more than the slack.
fn check_ceiling(
    history: &History,
    index: usize,
    tenant: &Tenant,
    admissions: &[Admission],
) -> Option<Violation> {
    if tenant.ceiling_rate <= 0.0 {
        return None;
    }
    let allowed = |at| {
        let slack = CEILING_SLACK + history.harness_delay(at, at);
        tenant.ceiling_rate * slack.as_secs_f64()
    };
    let excess = largest_excess(tenant.ceiling_rate, tenant.ceiling_burst, admissions, allowed)?;
    let text = format!("tenant {index} was {:.1} units over its ceiling", excess.units);
    Some(Violation::new(HARD_CEILING, text).at(excess.time))
}
