//! The tables `[[plan]]` and `[[lender]]`: what tenants may use.

use crate::SettingsError;
use serde::Deserialize;

/// A plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanConfig {
    /// Its name.
    pub name: String,
    /// Units a second of each of its tenants.
    pub units_per_second: f64,
    /// Units that a tenant may use at once.
    pub burst: f64,
    /// Hard ceiling in units a second; 0 for none.
    #[serde(default)]
    pub ceiling_per_second: f64,
    /// Units that the ceiling admits at once.
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Factor on the priority weight.
    #[serde(default = "one")]
    pub price: f64,
}

fn one() -> f64 {
    1.0
}

impl PlanConfig {
    /// Whether it gives its tenants anything.
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        if self.units_per_second > 0.0 && self.burst > 0.0 {
            return Ok(());
        }
        Err(SettingsError::EmptyPlan { plan: self.name.clone() })
    }
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantConfig {
    /// Its name, as the header gives it.
    pub name: String,
    /// The name of its plan.
    pub plan: String,
}

/// FNV-1a, 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The number of a tenant: a hash of its name, so that it is the same at every gatekeeper whatever the order of its file.
pub fn tenant_number(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
