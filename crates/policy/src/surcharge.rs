//! Surcharge: while latency is far above its long-term level, classes of low weight pay more units.

use crate::estimates::MIN_LATENCY_RATIO;
use crate::state_machine::Policy;

/// The smallest ratio that the surcharge follows.
const SMALLEST_RATIO: f64 = 0.05;

impl Policy {
    /// Below the floor the lowest class pays its units over the ratio, and with each halving the next class.
    pub(crate) fn surcharge_factor(&self, class: usize) -> f64 {
        let ratio = self.latency_ratio();
        let class = &self.settings.classes[class];
        let weight = class.priority_weight;
        // A class that several services serve is there once for each.
        let same_service = || self.settings.classes.iter().filter(|other| other.service == class.service);
        let rank = same_service().filter(|other| other.priority_weight < weight).count();
        let is_highest = rank > 0 && same_service().all(|other| other.priority_weight <= weight);
        let floor = MIN_LATENCY_RATIO / f64::from(1u32 << rank.min(16));
        if ratio < floor && !is_highest { 1.0 / ratio.max(SMALLEST_RATIO) } else { 1.0 }
    }
}
