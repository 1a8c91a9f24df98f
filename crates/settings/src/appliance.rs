//! The appliance's configuration file: where it listens, its OpenAPI descriptions, tenants and plans, and Consul.

mod classes;
mod cluster;
mod consul;
mod limits;
mod plan_version;
mod plans;
mod policy_settings;
mod replication;

pub use classes::{ClassConfig, RepeatEffect};
pub use cluster::{ClusterConfig, HealthCheckConfig, PeriodicJobConfig};
pub use consul::{ConsulConfig, MinimumHealth, RegistrationConfig, ServiceConfig};
pub use limits::{LimitsConfig, QuotaConfig, SlowStartConfig};
pub use plan_version::{apply_version, scaled, stricter};
pub use plans::{PlanConfig, TenantConfig, tenant_number};
pub use policy_settings::RouteClass;
pub use replication::{ReplicaConfig, ReplicationConfig};

use crate::SettingsError;
use crate::validation::{check_loopback, check_names, invalid};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Limit on services, each of which is watched by itself.
const MAX_SERVICES: usize = 32;

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// The message alone.
    #[default]
    Plain,
    /// JSON, with the machine's monotonic clock.
    Json,
}

/// The file in the types that the program uses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplianceConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the console asks for the live status; on loopback only.
    pub status: Option<SocketAddr>,
    /// The form of log lines; `SNOWFIELD_LOG` overrides it.
    #[serde(rename = "log", default)]
    pub log_format: LogFormat,
    /// The OpenAPI descriptions, relative to the file's directory.
    pub descriptions: Vec<PathBuf>,
    /// The HTTP header that names the tenant.
    #[serde(rename = "lender_header")]
    pub tenant_header: String,
    /// Where the endpoint lists come from.
    pub consul: ConsulConfig,
    /// How the quotas are shared with other gatekeepers.
    #[serde(default)]
    pub quota: QuotaConfig,
    /// Limits and time-outs.
    #[serde(default)]
    pub limits: LimitsConfig,
    /// How backends warm up.
    #[serde(rename = "fleet", default)]
    pub slow_start: SlowStartConfig,
    /// Further services.
    #[serde(rename = "service", default)]
    pub services: Vec<ServiceConfig>,
    /// The registration of this process.
    #[serde(rename = "register")]
    pub registration: Option<RegistrationConfig>,
    /// The instances that share periodic jobs.
    pub cluster: Option<ClusterConfig>,
    /// How plans are replicated among the gatekeepers.
    #[serde(rename = "agreed")]
    pub replication: Option<ReplicationConfig>,
    /// Active health checks of the backends.
    #[serde(rename = "probe")]
    pub health_check: Option<HealthCheckConfig>,
    /// Periodic jobs that are HTTP calls.
    #[serde(rename = "duty", default)]
    pub periodic_jobs: Vec<PeriodicJobConfig>,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassConfig>,
    /// The plans.
    #[serde(rename = "plan")]
    pub plans: Vec<PlanConfig>,
    /// The tenants.
    #[serde(rename = "lender")]
    pub tenants: Vec<TenantConfig>,
}

impl ApplianceConfig {
    /// Reads the file and checks all that can be checked without other files.
    ///
    /// # Errors
    ///
    /// Says what is missing or cannot be used.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let config: Self = toml::from_str(text)?;
        config.validate()?;
        Ok(config)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        check_loopback("status", self.status, "the status has no access control")?;
        if self.descriptions.is_empty() {
            return Err(SettingsError::EmptyList { key: "descriptions" });
        }
        self.validate_tenant_header()?;
        self.validate_names()?;
        self.plans.iter().try_for_each(PlanConfig::validate)?;
        self.limits.validate()?;
        self.validate_timing()?;
        self.consul.validate()?;
        self.validate_services()?;
        if let Some(registration) = &self.registration {
            registration.validate(self.listen)?;
        }
        cluster::validate(self.cluster.as_ref(), self.health_check.as_ref(), &self.periodic_jobs)?;
        if let Some(replication) = &self.replication {
            replication.validate(self.cluster.as_ref())?;
        }
        self.check_policy()
    }

    fn validate_tenant_header(&self) -> Result<(), SettingsError> {
        let header = &self.tenant_header;
        let valid = !header.is_empty()
            && header.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte));
        if valid {
            Ok(())
        } else {
            Err(invalid("lender_header", format!("{header:?}"), "the name of a header"))
        }
    }

    fn validate_names(&self) -> Result<(), SettingsError> {
        check_names("class", self.classes.iter().map(|class| class.name.as_str()))?;
        check_names("plan", self.plans.iter().map(|plan| plan.name.as_str()))?;
        check_names("lender", self.tenants.iter().map(|tenant| tenant.name.as_str()))?;
        if self.tenants.is_empty() {
            return Err(SettingsError::EmptyList { key: "lender" });
        }
        match self.tenants.iter().find(|tenant| self.plan_number(&tenant.plan).is_none()) {
            Some(TenantConfig { name, plan }) => {
                Err(SettingsError::UnknownPlan { tenant: name.clone(), plan: plan.clone() })
            }
            None => Ok(()),
        }
    }

    fn validate_timing(&self) -> Result<(), SettingsError> {
        let findings: Vec<_> = self.timings().iter().flat_map(timing::ClassTiming::violations).collect();
        if findings.is_empty() { Ok(()) } else { Err(SettingsError::Timing(findings)) }
    }

    fn validate_services(&self) -> Result<(), SettingsError> {
        let names = self.service_names();
        check_names("service", names.iter().copied())?;
        if names.len() > MAX_SERVICES {
            return Err(invalid(
                "service",
                format!("a list of {}", names.len()),
                format!("{MAX_SERVICES} at most"),
            ));
        }
        Ok(())
    }

    /// Names of the services, the one under `consul` first.
    pub fn service_names(&self) -> Vec<&str> {
        let further = self.services.iter().map(|service| service.name.as_str());
        std::iter::once(self.consul.service.as_str()).chain(further).collect()
    }

    /// The stated times of each class.
    pub fn timings(&self) -> Vec<timing::ClassTiming> {
        self.classes.iter().map(|class| class.timing(&self.limits)).collect()
    }

    /// The number of a class, by its place in the file.
    pub fn class_number(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The number of a plan, by its place in the file.
    pub fn plan_number(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|plan| plan.name == name)
    }
}
