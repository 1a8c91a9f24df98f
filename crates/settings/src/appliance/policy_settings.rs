//! The file in the policy's types.

use super::{ApplianceConfig, ClassConfig, PlanConfig, RepeatEffect};
use crate::SettingsError;
use dewproxy::interface as policy;

/// The policy's housekeeping interval in microseconds.
const TICK_US: policy::Micros = 4_000;
/// How long a draining backend may still be sent what was decided before, in microseconds.
const DRAIN_GRACE_US: policy::Micros = 1_000_000;
/// Factor on all plans of a build that breaks its ceilings on purpose.
const SEEDED_FAULT_FACTOR: f64 = 4.0;

/// A class of the policy: the requests of one class of the file to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteClass {
    /// The service, by its place in [`ApplianceConfig::service_names`].
    pub service: u16,
    /// The class, by its place in [`ApplianceConfig::classes`].
    pub class: usize,
}

impl ApplianceConfig {
    /// The policy's settings, where one request takes at most `max_units` and the policy's classes are these.
    ///
    /// # Errors
    ///
    /// The policy cannot work by them.
    pub fn policy_settings(
        &self,
        max_units: f64,
        classes: &[RouteClass],
    ) -> Result<policy::Settings, SettingsError> {
        let class = |route: &RouteClass| policy::Class {
            service: route.service,
            ..self.classes[route.class].to_policy()
        };
        let settings = policy::Settings {
            gateways: self.quota.gatekeepers,
            me: self.quota.number,
            tick: TICK_US,
            classes: classes.iter().map(class).collect(),
            weighted: true,
            plans: self.plans.iter().map(PlanConfig::to_policy).collect(),
            max_attempts: self.limits.max_attempts,
            second_copies: true,
            cancel: true,
            max_retry_after: self.quota.max_retry_after_ms * 1000,
            connect_timeout: self.limits.connect_timeout_ms * 1000,
            cold_share: self.slow_start.initial_share,
            cold_span: self.slow_start.duration_ms * 1000,
            overload_factor: self.slow_start.overload_factor,
            fall_span: self.slow_start.collapse_after_ms * 1000,
            drain_grace: DRAIN_GRACE_US,
            counter: self.quota.counter.is_some(),
            counter_wait: self.quota.counter_timeout_ms * 1000,
            largest: max_units,
            ..policy::Settings::default()
        };
        settings.validate()?;
        Ok(settings)
    }

    /// Whether the policy can work by the file, whatever routes there are.
    pub(super) fn check_policy(&self) -> Result<(), SettingsError> {
        let classes = (0..self.classes.len()).map(|class| RouteClass { service: 0, class });
        self.policy_settings(1.0, &classes.collect::<Vec<_>>()).map(drop)
    }
}

impl ClassConfig {
    fn to_policy(&self) -> policy::Class {
        let microseconds = |ms: Option<u64>| ms.unwrap_or(0).saturating_mul(1000);
        policy::Class {
            aim: self.latency_objective_ms * 1000,
            deadline: self.deadline_ms * 1000,
            effect: match self.repeat {
                RepeatEffect::Safe => policy::Effect::Safe,
                RepeatEffect::Unsafe => policy::Effect::Unsafe,
            },
            group: policy::Group::All,
            worth: self.priority_weight,
            attempts: self.max_attempts.unwrap_or(0),
            attempt_timeout: microseconds(self.attempt_timeout_ms),
            copy_after: microseconds(self.hedge_after_ms),
            ..policy::Class::default()
        }
    }
}

impl PlanConfig {
    fn to_policy(&self) -> policy::Plan {
        let factor = if weakened::breaks("ceilings") { SEEDED_FAULT_FACTOR } else { 1.0 };
        policy::Plan {
            rate: self.units_per_second * factor,
            burst: self.burst * factor,
            ceiling_rate: self.ceiling_per_second * factor,
            ceiling_burst: self.ceiling_burst * factor,
            price: self.price,
            ..policy::Plan::default()
        }
    }
}
