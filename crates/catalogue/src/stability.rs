//! How sudden changes of a list are damped.

use crate::{HealthStatus, Millis};

/// Settings of the flap damping and of the retention after a sudden loss.
#[derive(Clone, Debug, PartialEq)]
pub struct StabilityConfig {
    /// The worst health that is still eligible.
    pub minimum_health: HealthStatus,
    /// An endpoint that recovers for the second time in a while is held back for this long; each further time for twice as long.
    pub flap_hold: Millis,
    /// The longest hold.
    pub max_flap_hold: Millis,
    /// The count of flaps halves in this time.
    pub flap_half_life: Millis,
    /// A loss of this share of the eligible endpoints or more, in one response and without a mark, is sudden.
    pub sudden_loss_share: f64,
    /// Endpoints are retained for this long after a sudden loss.
    pub sudden_loss_hold: Millis,
    /// Only endpoints that have answered a client this recently are retained.
    pub recently_answered: Millis,
}

impl Default for StabilityConfig {
    fn default() -> Self {
        Self {
            minimum_health: HealthStatus::Warning,
            flap_hold: 2_000,
            max_flap_hold: 60_000,
            flap_half_life: 60_000,
            sudden_loss_share: 0.5,
            sudden_loss_hold: 15_000,
            recently_answered: 3_000,
        }
    }
}
