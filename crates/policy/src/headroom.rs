//! The units of a quota that are left for a request, with their uncertainty.

/// The headroom of a quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    /// Units that the bucket holds above the price of a request.
    pub(crate) units: f64,
    /// Units by which that may be wrong because of unseen spend of others; negative if it is certain.
    pub(crate) uncertainty: f64,
}

impl Headroom {
    pub(crate) fn certain(units: f64) -> Self {
        Self { units, uncertainty: -1.0 }
    }

    /// Whether a fresh total could change the decision.
    pub(crate) fn may_change(self) -> bool {
        self.uncertainty >= self.units.abs()
    }

    pub(crate) fn is_uncertain(self) -> bool {
        self.units.abs() < self.uncertainty
    }
}
