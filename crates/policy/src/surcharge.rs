//! Surcharge: while latency is far above its long-term level, classes of low weight pay more units.

use crate::latency_trend::OVERLOAD_LATENCY_RATIO;
use crate::settings::Settings;

/// Lower bound of the latency ratio that the surcharge uses, which bounds the factor.
const MIN_SURCHARGE_RATIO: f64 = 0.05;

/// The factor on the cost of a class. `latency_ratio` is long-term divided by short-term latency, 1 in normal
/// operation. Below [`OVERLOAD_LATENCY_RATIO`] the class of lowest weight pays its cost divided by the ratio;
/// each time the ratio halves, the class of the next higher weight pays as well. Among several weights, the
/// class of the highest weight pays no surcharge.
pub(crate) fn surcharge_factor(settings: &Settings, class: usize, latency_ratio: f64) -> f64 {
    let class = &settings.classes[class];
    let weight = class.priority_weight;
    // A class that several services serve is listed once for each.
    let same_service = || settings.classes.iter().filter(|other| other.service == class.service);
    let rank = same_service().filter(|other| other.priority_weight < weight).count();
    let is_highest = rank > 0 && same_service().all(|other| other.priority_weight <= weight);
    let floor = OVERLOAD_LATENCY_RATIO / f64::from(1u32 << rank.min(16));
    if latency_ratio < floor && !is_highest { 1.0 / latency_ratio.max(MIN_SURCHARGE_RATIO) } else { 1.0 }
}

#[cfg(test)]
mod tests;
