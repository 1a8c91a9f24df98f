//! Settings that damp sudden changes of an endpoint list.

use crate::HealthStatus;
use std::time::Duration;

/// Settings of flap damping and of retention after a sudden loss.
#[derive(Clone, Debug, PartialEq)]
pub struct StabilityConfig {
    /// The worst health status that is still eligible.
    pub minimum_health: HealthStatus,
    /// Suppression time of an endpoint that recovers from its second recent flap. It doubles with each further flap.
    pub flap_suppression: Duration,
    /// Upper bound of the suppression time.
    pub max_flap_suppression: Duration,
    /// Half-life of an endpoint's flap count.
    pub flap_half_life: Duration,
    /// A single response that drops at least this share of the eligible endpoints, none of them marked unhealthy, is a sudden loss.
    pub sudden_loss_share: f64,
    /// Time for which endpoints are retained after a sudden loss.
    pub sudden_loss_retention: Duration,
    /// Only endpoints that answered a client within this time before the loss are retained.
    pub recently_answered: Duration,
}

impl Default for StabilityConfig {
    fn default() -> Self {
        Self {
            minimum_health: HealthStatus::Warning,
            flap_suppression: Duration::from_secs(2),
            max_flap_suppression: Duration::from_secs(60),
            flap_half_life: Duration::from_secs(60),
            sudden_loss_share: 0.5,
            sudden_loss_retention: Duration::from_secs(15),
            recently_answered: Duration::from_secs(3),
        }
    }
}
