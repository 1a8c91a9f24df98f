//! Checks that no tenant exceeds its hard ceiling.

use super::TokenBucket;
use std::time::Duration;

/// Units that were admitted for a tenant: those of one request, counted at its first attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// When the first attempt arrived at its backend.
    pub time: Duration,
    /// The units that the request takes.
    pub units: f64,
}

/// The units by which a tenant exceeded its ceiling at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// When the admission that caused the excess arrived.
    pub time: Duration,
    /// Units beyond the rate and the burst of the ceiling.
    pub units: f64,
    /// Units beyond rate and burst that are tolerated at this time.
    pub allowed: f64,
}

/// Finds the largest excess of a tenant's admissions, which are in the order of time, over a token bucket with this rate and
/// burst that is full at the first admission. An excess of up to `allowed` units at its time is tolerated. None if all admissions
/// are permitted.
pub fn largest_excess(
    units_per_second: f64,
    burst: f64,
    admissions: &[Admission],
    allowed: impl Fn(Duration) -> f64,
) -> Option<Excess> {
    let mut bucket = TokenBucket::full(units_per_second, burst, admissions.first()?.time);
    let mut largest: Option<Excess> = None;
    for admission in admissions {
        let level = bucket.take(admission.units, admission.time);
        let excess = Excess { time: admission.time, units: -level, allowed: allowed(admission.time) };
        let untolerated = |excess: &Excess| excess.units - excess.allowed;
        if untolerated(&excess) > largest.as_ref().map_or(0.0, untolerated) {
            largest = Some(excess);
        }
    }
    largest
}
