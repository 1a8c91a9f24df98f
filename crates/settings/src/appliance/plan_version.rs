//! Versions of the replicated plans: parsing a version, and computing the plans in force from it.

use super::{ApplianceConfig, PlanConfig};
use crate::SettingsError;
use crate::validation::check_unique;
use serde::Deserialize;

/// Schema of a version of the replicated plans.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanVersion {
    #[serde(rename = "plan", default)]
    plans: Vec<PlanConfig>,
}

/// Minimum rate (in units per second) and burst of a scaled plan. The policy requires values above 0, and one unit per day admits
/// practically no requests.
const MIN_RATE: f64 = 1.0 / 86_400.0;

/// Returns the plans of the file, after replacing the limits of the plans that the version contains.
///
/// # Errors
///
/// Returns an error if the text is invalid, names a plan that the file does not define, or has invalid limits.
pub fn apply_version(config: &ApplianceConfig, text: &str) -> Result<Vec<PlanConfig>, SettingsError> {
    let version: PlanVersion = toml::from_str(text)?;
    check_unique("plan", version.plans.iter().map(|plan| plan.name.as_str()))?;
    let mut plans = config.plans.clone();
    for changed in version.plans {
        let Some(plan) = plans.iter_mut().find(|plan| plan.name == changed.name) else {
            return Err(SettingsError::PlanNotInFile { plan: changed.name });
        };
        changed.validate()?;
        if changed.ceiling_per_second > 0.0 && changed.ceiling_per_second < changed.units_per_second {
            return Err(SettingsError::CeilingBelowQuota { plan: changed.name });
        }
        *plan = changed;
    }
    ApplianceConfig { plans: plans.clone(), ..config.clone() }.check_policy()?;
    Ok(plans)
}

/// The plans with the stricter limits of two versions of the same file, so that neither version is exceeded.
pub fn stricter_plans(one: &[PlanConfig], other: &[PlanConfig]) -> Vec<PlanConfig> {
    one.iter().zip(other).map(|(one, other)| stricter_plan(one, other)).collect()
}

fn stricter_plan(one: &PlanConfig, other: &PlanConfig) -> PlanConfig {
    PlanConfig {
        name: one.name.clone(),
        units_per_second: one.units_per_second.min(other.units_per_second),
        burst: one.burst.min(other.burst),
        ceiling_per_second: stricter_ceiling(one.ceiling_per_second, other.ceiling_per_second),
        ceiling_burst: stricter_ceiling(one.ceiling_burst, other.ceiling_burst),
        price: one.price,
    }
}

/// The lower of two ceilings, where 0 means no ceiling.
fn stricter_ceiling(one: f64, other: f64) -> f64 {
    if one > 0.0 && other > 0.0 { one.min(other) } else { one.max(other) }
}

/// The plans with their limits scaled by `share`, for a gatekeeper without a lease, which may not know the latest version.
pub fn scaled_plans(plans: &[PlanConfig], share: f64) -> Vec<PlanConfig> {
    let scale = |plan: &PlanConfig| PlanConfig {
        name: plan.name.clone(),
        units_per_second: (plan.units_per_second * share).max(MIN_RATE),
        burst: (plan.burst * share).max(MIN_RATE),
        ceiling_per_second: plan.ceiling_per_second * share.max(MIN_RATE),
        ceiling_burst: plan.ceiling_burst * share.max(MIN_RATE),
        price: plan.price,
    };
    plans.iter().map(scale).collect()
}
