//! How much of a quota is left for a request, and how certain that is.

/// Units that a bucket holds above the price of a request, and by how many that may be wrong because of what others have spent
/// since the last total; negative: certain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    pub(crate) units: f64,
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
