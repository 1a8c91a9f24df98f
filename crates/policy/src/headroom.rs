//! The units of a quota that are left after the price of a request, with their uncertainty.

/// Units left in a quota after the price of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    /// Units in the bucket minus the price of the request; negative if the bucket holds less than the price.
    pub(crate) units: f64,
    /// Units by which `units` may be wrong because of spend of other gatekeepers that is not known yet;
    /// negative if `units` is certain.
    pub(crate) uncertainty: f64,
}

impl Headroom {
    pub(crate) fn certain(units: f64) -> Self {
        Self { units, uncertainty: -1.0 }
    }

    /// Whether a current total from the counter could change the admission decision.
    pub(crate) fn total_may_change_decision(self) -> bool {
        self.uncertainty >= self.units.abs()
    }

    pub(crate) fn is_uncertain(self) -> bool {
        self.units.abs() < self.uncertainty
    }
}
