//! Errors of configuration files.

use crate::numbering::MAX_CLASSES_OR_PLANS;
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
    /// Parsing the JSON could overflow the stack, because the parser is recursive.
    #[error("the JSON is nested too deeply")]
    NestedTooDeep,
    /// On a reload, the new file lacks a key that the file in force has.
    #[error("the key {key} is missing")]
    MissingKey {
        /// Path of the missing key from the root of the file, with dots between the keys.
        key: String,
    },
    /// The value of a key is out of its range, or has the wrong form.
    #[error("{key} is {value}, but must be {requirement}")]
    InvalidValue {
        /// The key with the invalid value, prefixed with the name of its table or entry.
        key: String,
        /// The invalid value, as text.
        value: String,
        /// The allowed values, for example `500 to 60000`.
        requirement: String,
    },
    /// An address that only this machine may reach is reachable from other machines.
    #[error("{key}: {address} is not on loopback; {reason}")]
    NotOnLoopback {
        /// The key of the address, prefixed with the name of its table.
        key: &'static str,
        /// The address that the file sets.
        address: SocketAddr,
        /// Why the address must be on the loopback interface.
        reason: &'static str,
    },
    /// An address that other processes connect to has port 0, which stands for a port that the system chooses.
    #[error("{key}: port 0 cannot be told to others; {remedy}")]
    PortZero {
        /// The key of the address, prefixed with the name of its table.
        key: &'static str,
        /// Change to the file that corrects the error.
        remedy: &'static str,
    },
    /// A list that must not be empty has no entries.
    #[error("{key}: at least one is needed")]
    EmptyList {
        /// The key of the empty list.
        key: &'static str,
    },
    /// The name of an entry of a list is empty.
    #[error("a {kind} has no name")]
    Unnamed {
        /// What the list contains, for example `plan`; often the key of the list.
        kind: &'static str,
    },
    /// Two entries of a list have the same name.
    #[error("{kind} {name:?} comes twice")]
    Duplicate {
        /// What the list contains, for example `plan`; often the key of the list.
        kind: &'static str,
        /// The name that occurs more than once.
        name: String,
    },
    /// A tenant has a plan that the file does not define.
    #[error("lender {tenant:?} has the unknown plan {plan:?}")]
    UnknownPlan {
        /// Name of the tenant (key `lender` in the file).
        tenant: String,
        /// Name of the plan that the file does not define.
        plan: String,
    },
    /// A version of the replicated plans has a plan that the file does not define. Versions can only change the limits of plans.
    #[error("plan {plan:?} is none of the file's; a new one needs a restart")]
    PlanNotInFile {
        /// Name of the plan that the file does not define.
        plan: String,
    },
    /// The rate or the burst of a plan is not above 0, so that the plan would admit no requests.
    #[error("plan {plan:?} needs units_per_second and burst above 0")]
    EmptyPlan {
        /// Name of the plan without a usable quota.
        plan: String,
    },
    /// The hard ceiling of a plan would reject requests within the plan's quota.
    #[error("plan {plan:?} has its ceiling below its quota")]
    CeilingBelowQuota {
        /// Name of the plan whose ceiling is below its quota.
        plan: String,
    },
    /// The times of some classes violate the timing rules.
    #[error("the timing of the classes is invalid:\n  {}", join_lines(.0))]
    Timing(Vec<timing::TimingViolation>),
    /// A class of the platform's file has an unknown effect.
    #[error("class {class}: unknown effect {effect:?}")]
    UnknownEffect {
        /// Name of the class, as in the file.
        class: String,
        /// The unknown value of the class's key `effect`.
        effect: String,
    },
    /// `[agreed]` is present without `[cluster]`, which has the name of this instance and the key file for replication.
    #[error("agreed: the table [cluster] is missing; it sets this instance's name and key file")]
    ReplicationWithoutCluster,
    /// A replica has no `agreed.listen`, or an instance that is not a replica has one.
    #[error("agreed: a voter needs listen, and only a voter has it")]
    ReplicaListenerMismatch,
    /// A lease request could not be retried within the shortest period of a job or health check.
    #[error(
        "cluster.store_timeout_ms is {timeout_ms}, more than half of the shortest period, {period_ms}: \
         a failed lease request could not be retried in the same period"
    )]
    StoreTimeoutTooLong {
        /// The configured timeout of a lease request, in milliseconds.
        timeout_ms: u64,
        /// Shortest of the configured periods of jobs and health checks, in milliseconds.
        period_ms: u64,
    },
    /// All configurations since the process started have too many different classes or plans together.
    #[error("more than {MAX_CLASSES_OR_PLANS} different classes or plans since the process started")]
    TooManyClassesOrPlans,
    /// A setting that the file sets, or that follows from the file, is out of the range that the policy accepts.
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
