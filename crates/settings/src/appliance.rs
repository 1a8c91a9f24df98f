//! The configuration file of the appliance, in TOML.

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
pub use plan_version::{apply_version, scaled_plans, stricter_plans};
pub use plans::{PlanConfig, TenantConfig, tenant_number};
pub use policy_settings::RouteClass;
pub use replication::{ReplicaConfig, ReplicationConfig};

use crate::SettingsError;
use crate::validation::{check_loopback, check_names, invalid_value};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of services. Each service has its own watch in Consul.
const MAX_SERVICES: usize = 32;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Plain,
    /// One JSON object per line, with the time of the machine's monotonic clock.
    Json,
}

/// Configuration of the appliance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplianceConfig {
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address on the loopback interface at which the console polls the live status; `None` if no status is served.
    pub status: Option<SocketAddr>,
    /// Format of log lines. `SNOWFIELD_LOG` overrides it.
    #[serde(rename = "log", default)]
    pub log_format: LogFormat,
    /// Paths of the OpenAPI descriptions, relative to the directory of this file.
    pub descriptions: Vec<PathBuf>,
    /// HTTP header with the name of the tenant.
    #[serde(rename = "lender_header")]
    pub tenant_header: String,
    /// Consul, the source of the endpoint lists.
    pub consul: ConsulConfig,
    /// Sharing of quotas with other gatekeepers.
    #[serde(default)]
    pub quota: QuotaConfig,
    /// Limits on sizes, connections and attempts, and timeouts of connections.
    #[serde(default)]
    pub limits: LimitsConfig,
    /// Slow start of backends.
    #[serde(rename = "fleet", default)]
    pub slow_start: SlowStartConfig,
    /// Services other than that of `consul`.
    #[serde(rename = "service", default)]
    pub services: Vec<ServiceConfig>,
    /// Registration of this process in Consul; `None` if the process is not registered.
    #[serde(rename = "register")]
    pub registration: Option<RegistrationConfig>,
    /// Cluster of instances that share health checks and periodic jobs; `None` for a single instance.
    pub cluster: Option<ClusterConfig>,
    /// Replication of plans among the gatekeepers; `None` if the plans come from this file only.
    #[serde(rename = "agreed")]
    pub replication: Option<ReplicationConfig>,
    /// Active health checks of the backends; `None` if no backend is checked.
    #[serde(rename = "probe")]
    pub health_check: Option<HealthCheckConfig>,
    /// HTTP calls that are made periodically.
    #[serde(rename = "duty", default)]
    pub periodic_jobs: Vec<PeriodicJobConfig>,
    /// The classes of requests, to which the OpenAPI descriptions refer by name.
    #[serde(rename = "class")]
    pub classes: Vec<ClassConfig>,
    /// The plans, which set the limits of tenants.
    #[serde(rename = "plan")]
    pub plans: Vec<PlanConfig>,
    /// The tenants, at least one.
    #[serde(rename = "lender")]
    pub tenants: Vec<TenantConfig>,
}

impl ApplianceConfig {
    /// Parses the file and validates everything that does not depend on other files.
    ///
    /// # Errors
    ///
    /// Returns an error with the missing key or the invalid value.
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
        let is_header_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
        if !header.is_empty() && header.bytes().all(is_header_byte) {
            Ok(())
        } else {
            Err(invalid_value(
                "lender_header",
                format!("{header:?}"),
                "a header name of letters, digits, - and _",
            ))
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
        let violations: Vec<_> = self.timings().iter().flat_map(timing::ClassTiming::violations).collect();
        if violations.is_empty() { Ok(()) } else { Err(SettingsError::Timing(violations)) }
    }

    fn validate_services(&self) -> Result<(), SettingsError> {
        let names = self.service_names();
        check_names("service", names.iter().copied())?;
        if names.len() > MAX_SERVICES {
            return Err(invalid_value(
                "service",
                format!("a list of {}", names.len()),
                format!("{MAX_SERVICES} at most"),
            ));
        }
        Ok(())
    }

    /// Names of the services by number. The service of the table `[consul]` is number 0.
    pub fn service_names(&self) -> Vec<&str> {
        let further = self.services.iter().map(|service| service.name.as_str());
        std::iter::once(self.consul.service.as_str()).chain(further).collect()
    }

    /// Timing of each class, in the order of the file.
    pub fn timings(&self) -> Vec<timing::ClassTiming> {
        self.classes.iter().map(|class| class.timing(&self.limits)).collect()
    }

    /// Position of a class in the file, from 0; `None` if the file has no class of this name.
    pub fn class_number(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Position of a plan in the file, from 0; `None` if the file has no plan of this name.
    pub fn plan_number(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|plan| plan.name == name)
    }
}
