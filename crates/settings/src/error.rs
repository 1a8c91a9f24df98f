//! Errors of configurations.

use crate::numbering::MAX_NUMBERED;
use std::net::SocketAddr;

/// Why a configuration is invalid. The caller adds the name of the file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON with the schema of the platform's file.
    #[error("{0}")]
    Json(#[source] simd_json::Error),
    /// The text is not TOML with the schema of the appliance's file.
    #[error("{0}")]
    Toml(#[source] Box<toml::de::Error>),
    /// The JSON is nested too deeply.
    #[error("it nests too deep")]
    NestedTooDeep,
    /// A key of the configuration in force is missing in its replacement.
    #[error("the key {key} is missing")]
    MissingKey {
        /// Path of the key.
        key: String,
    },
    /// A key has an invalid value.
    #[error("{key} is {value}, but must be {requirement}")]
    InvalidValue {
        /// Key, with the name of its table or entry.
        key: String,
        /// As the file has it.
        value: String,
        /// Allowed values.
        requirement: String,
    },
    /// An address is reachable from other machines.
    #[error("{key}: {address} is not on loopback; {reason}")]
    NotOnLoopback {
        /// Key, with the name of its table.
        key: &'static str,
        /// As the file has it.
        address: SocketAddr,
        /// Why it must be on the loopback interface.
        reason: &'static str,
    },
    /// An address that is announced to other processes has port 0.
    #[error("{key}: port 0 cannot be told to others; {remedy}")]
    PortUnknown {
        /// Key, with the name of its table.
        key: &'static str,
        /// How to correct it.
        remedy: &'static str,
    },
    /// A list is empty.
    #[error("{key}: at least one is needed")]
    EmptyList {
        /// Key of the list.
        key: &'static str,
    },
    /// An entry has no name.
    #[error("a {kind} has no name")]
    Unnamed {
        /// Kind of the entry.
        kind: &'static str,
    },
    /// Two entries of a list have the same name.
    #[error("{kind} {name:?} comes twice")]
    Duplicate {
        /// Kind of the entries.
        kind: &'static str,
        /// Their name.
        name: String,
    },
    /// The file does not define the plan of a tenant.
    #[error("lender {tenant:?} has the unknown plan {plan:?}")]
    UnknownPlan {
        /// Name of the tenant.
        tenant: String,
        /// Name of the plan.
        plan: String,
    },
    /// The file does not define a plan of a proposed version.
    #[error("plan {plan:?} is none of the file's; a new one needs a restart")]
    PlanNotInFile {
        /// Name of the plan.
        plan: String,
    },
    /// A plan admits no requests.
    #[error("plan {plan:?} needs units_per_second and burst above 0")]
    EmptyPlan {
        /// Name of the plan.
        plan: String,
    },
    /// The ceiling of a plan is below its quota.
    #[error("plan {plan:?} has its ceiling below its quota")]
    CeilingBelowQuota {
        /// Name of the plan.
        plan: String,
    },
    /// The times of some classes violate the timing rules.
    #[error("the timing of the classes cannot be kept:\n  {}", join_lines(.0))]
    Timing(Vec<timing::TimingViolation>),
    /// A class of the platform's file has an unknown effect.
    #[error("class {class}: unknown effect {effect:?}")]
    UnknownEffect {
        /// Name of the class.
        class: String,
        /// The unknown effect.
        effect: String,
    },
    /// Replication is configured without `[cluster]`, which has the name and the key of the instance.
    #[error("agreed: it needs [cluster] for this instance's name and the key")]
    ReplicationWithoutCluster,
    /// A replica has no listen address, or another instance has one.
    #[error("agreed: a voter needs listen, and only a voter has it")]
    ReplicaWithoutListener,
    /// A lease request could not be retried within the shortest period of a job or health check.
    #[error(
        "cluster.store_timeout_ms is {timeout_ms}, more than half of the shortest period, {period_ms}: \
         a lease could not be asked for again in the same period"
    )]
    StoreTimeoutTooLong {
        /// Time-out of the lease store in milliseconds.
        timeout_ms: u64,
        /// Shortest period of a job or health check in milliseconds.
        period_ms: u64,
    },
    /// The configurations since the start had too many different classes or plans.
    #[error("more than {MAX_NUMBERED} classes or plans since the start")]
    TooManyNumbers,
    /// The policy rejects the settings.
    #[error("{0}")]
    Policy(#[from] policy::SettingsError),
}

impl From<simd_json::Error> for SettingsError {
    fn from(error: simd_json::Error) -> Self {
        Self::Json(error)
    }
}

impl From<toml::de::Error> for SettingsError {
    fn from(error: toml::de::Error) -> Self {
        Self::Toml(Box::new(error))
    }
}

/// The texts of the violations, one a line.
fn join_lines(violations: &[timing::TimingViolation]) -> String {
    violations.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n  ")
}

#[cfg(test)]
mod tests;
