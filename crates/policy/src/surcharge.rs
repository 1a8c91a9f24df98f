//! Surcharge: while latency is far above its long-term level, classes of low weight pay more units.

use crate::latency_trend::MIN_LATENCY_RATIO;
use crate::settings::Settings;

/// The smallest ratio that the surcharge follows.
const SMALLEST_RATIO: f64 = 0.05;

/// The factor on the cost of a class. `latency_ratio` is long-term over short-term latency, 1 while all is
/// well. Below the floor the class of lowest weight pays its units over the ratio, and with each halving the
/// next class; the class of highest weight pays none.
pub(crate) fn surcharge_factor(settings: &Settings, class: usize, latency_ratio: f64) -> f64 {
    let class = &settings.classes[class];
    let weight = class.priority_weight;
    // A class that several services serve is listed once for each.
    let same_service = || settings.classes.iter().filter(|other| other.service == class.service);
    let rank = same_service().filter(|other| other.priority_weight < weight).count();
    let is_highest = rank > 0 && same_service().all(|other| other.priority_weight <= weight);
    let floor = MIN_LATENCY_RATIO / f64::from(1u32 << rank.min(16));
    if latency_ratio < floor && !is_highest { 1.0 / latency_ratio.max(SMALLEST_RATIO) } else { 1.0 }
}

#[cfg(test)]
mod tests;
