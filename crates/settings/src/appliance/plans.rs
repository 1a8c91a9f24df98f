//! The tables `[[plan]]` and `[[lender]]`: plans and tenants.

use crate::SettingsError;
use serde::Deserialize;

/// A plan: the limits of its tenants.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanConfig {
    /// Name of the plan, to which tenants refer.
    pub name: String,
    /// Quota of each tenant in units per second.
    pub units_per_second: f64,
    /// Units that a tenant may use at once: the capacity of its token bucket.
    pub burst: f64,
    /// Hard ceiling of each tenant in units per second; 0 for no ceiling.
    #[serde(default)]
    pub ceiling_per_second: f64,
    /// Units that the ceiling admits at once: the capacity of its token bucket.
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Factor by which the priority weight of a class is multiplied for tenants of this plan; 1 if absent.
    #[serde(default = "one")]
    pub price: f64,
}

fn one() -> f64 {
    1.0
}

impl PlanConfig {
    /// Checks that the plan admits requests.
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        if self.units_per_second > 0.0 && self.burst > 0.0 {
            return Ok(());
        }
        Err(SettingsError::EmptyPlan { plan: self.name.clone() })
    }
}

/// A tenant and the plan that limits it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantConfig {
    /// Name of the tenant, as in the HTTP header `lender_header`.
    pub name: String,
    /// Name of the tenant's plan.
    pub plan: String,
}

/// Constants of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Number of a tenant: a hash of its name, so that it does not depend on the order of tenants in the file of a gatekeeper.
pub fn tenant_number(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
