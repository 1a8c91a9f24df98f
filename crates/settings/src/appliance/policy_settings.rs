//! Conversion of the appliance's file to the settings of the policy.

use super::{ApplianceConfig, ClassConfig, PlanConfig, RepeatEffect};
use crate::SettingsError;

/// Interval of the policy's housekeeping, in microseconds.
const TICK_US: policy::Micros = 4_000;
/// Time for which requests that were already assigned to a draining backend may still be forwarded to it, in microseconds.
const DRAIN_GRACE_US: policy::Micros = 1_000_000;
/// Factor by which the seeded fault `ceilings` raises the limits of plans.
const SEEDED_LIMIT_FACTOR: f64 = 4.0;

/// A class of the policy: a configured class combined with the service that serves the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteClass {
    /// Index of the service in [`ApplianceConfig::service_names`].
    pub service: u16,
    /// Index of the class in [`ApplianceConfig::classes`].
    pub class: usize,
}

impl ApplianceConfig {
    /// Converts the file to settings of the policy with these classes, where one request costs at most `max_units`.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Policy`] if a setting is out of the range that the policy accepts.
    pub fn policy_settings(
        &self,
        max_units: f64,
        classes: &[RouteClass],
    ) -> Result<policy::Settings, SettingsError> {
        let class = |route: &RouteClass| policy::RequestClass {
            service: route.service,
            ..self.classes[route.class].to_policy()
        };
        let settings = policy::Settings {
            gatekeepers: self.quota.gatekeepers,
            gatekeeper_index: self.quota.number,
            tick: TICK_US,
            classes: classes.iter().map(class).collect(),
            weighted_backends: true,
            plans: self.plans.iter().map(PlanConfig::to_policy).collect(),
            max_attempts: self.limits.max_attempts,
            hedging: true,
            cancellation: true,
            max_retry_after: self.quota.max_retry_after_ms * 1000,
            connect_timeout: self.limits.connect_timeout_ms * 1000,
            slow_start_share: self.slow_start.initial_share,
            slow_start_duration: self.slow_start.duration_ms * 1000,
            overload_factor: self.slow_start.overload_factor,
            overload_duration: self.slow_start.collapse_after_ms * 1000,
            drain_grace: DRAIN_GRACE_US,
            shared_counter: self.quota.counter.is_some(),
            counter_timeout: self.quota.counter_timeout_ms * 1000,
            max_cost: max_units,
            ..policy::Settings::default()
        };
        settings.validate()?;
        Ok(settings)
    }

    /// Checks that the policy accepts the settings, independently of the routes.
    pub(super) fn check_policy(&self) -> Result<(), SettingsError> {
        let classes = (0..self.classes.len()).map(|class| RouteClass { service: 0, class });
        self.policy_settings(1.0, &classes.collect::<Vec<_>>()).map(drop)
    }
}

impl ClassConfig {
    fn to_policy(&self) -> policy::RequestClass {
        let microseconds = |ms: Option<u64>| ms.unwrap_or(0).saturating_mul(1000);
        policy::RequestClass {
            latency_objective: self.latency_objective_ms * 1000,
            deadline: self.deadline_ms * 1000,
            idempotency: match self.repeat {
                RepeatEffect::Safe => policy::Idempotency::Idempotent,
                RepeatEffect::Unsafe => policy::Idempotency::NonIdempotent,
            },
            dedup_scope: policy::DedupScope::All,
            priority_weight: self.priority_weight,
            max_attempts: self.max_attempts.unwrap_or(0),
            attempt_timeout: microseconds(self.attempt_timeout_ms),
            hedge_after: microseconds(self.hedge_after_ms),
            ..policy::RequestClass::default()
        }
    }
}

impl PlanConfig {
    fn to_policy(&self) -> policy::Plan {
        let factor = if seeded_faults::is_active("ceilings") { SEEDED_LIMIT_FACTOR } else { 1.0 };
        policy::Plan {
            rate: self.units_per_second * factor,
            burst: self.burst * factor,
            ceiling_rate: self.ceiling_per_second * factor,
            ceiling_burst: self.ceiling_burst * factor,
            priority_factor: self.price,
            ..policy::Plan::default()
        }
    }
}
