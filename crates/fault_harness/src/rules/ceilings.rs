//! No tenant passes its hard ceiling.

use super::TokenBucket;
use std::time::Duration;

/// Units that were admitted for a tenant: those of a request, at its first attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// When the attempt arrived.
    pub at: Duration,
    /// The units that the request takes.
    pub units: f64,
}

/// The units by which a tenant had passed its ceiling.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// When.
    pub at: Duration,
    /// The units beyond rate and burst.
    pub units: f64,
    /// The units that were allowed beyond them.
    pub allowed: f64,
}

/// The largest excess of a tenant's admissions, in the order of time, over what a full token bucket with this rate and burst and
/// `allowed` beyond it permit. None if all are permitted.
pub fn largest_excess(
    units_per_second: f64,
    burst: f64,
    admissions: &[Admission],
    allowed: impl Fn(Duration) -> f64,
) -> Option<Excess> {
    let mut bucket = TokenBucket::full(units_per_second, burst, admissions.first()?.at);
    let mut largest: Option<Excess> = None;
    for admission in admissions {
        let level = bucket.take(admission.units, admission.at);
        let excess = Excess { at: admission.at, units: -level, allowed: allowed(admission.at) };
        let beyond = |excess: &Excess| excess.units - excess.allowed;
        if beyond(&excess) > largest.as_ref().map_or(0.0, beyond) {
            largest = Some(excess);
        }
    }
    largest
}
