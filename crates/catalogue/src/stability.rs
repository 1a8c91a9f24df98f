//! Settings that damp flapping and sudden losses in an endpoint list.

use crate::HealthStatus;
use std::time::Duration;

/// Settings of flap damping and of retention after a sudden loss.
#[derive(Clone, Debug, PartialEq)]
pub struct StabilityConfig {
    /// The worst health status with which an endpoint is still eligible.
    pub minimum_health: HealthStatus,
    /// Time for which an endpoint stays ineligible after it recovers from its second recent flap. The time doubles with each
    /// further flap.
    pub flap_suppression: Duration,
    /// Upper bound of the doubled suppression time.
    pub max_flap_suppression: Duration,
    /// Half-life with which an endpoint's flap count decays.
    pub flap_half_life: Duration,
    /// A response is a sudden loss if it no longer lists at least this share (0 to 1) of the eligible endpoints. Endpoints that
    /// the response lists as unhealthy do not count.
    pub sudden_loss_share: f64,
    /// Time for which endpoints are retained after a sudden loss.
    pub sudden_loss_retention: Duration,
    /// Only endpoints that answered a client within this time before a sudden loss are retained.
    pub recent_answer_window: Duration,
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
            recent_answer_window: Duration::from_secs(3),
        }
    }
}
