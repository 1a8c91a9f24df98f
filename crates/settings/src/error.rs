//! Why a configuration cannot be used.

use crate::numbering::MAX_NUMBERED;
use std::net::SocketAddr;

/// Why a configuration cannot be used. The file's name is for the caller to add.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not the JSON that the platform's file consists of.
    #[error("{0}")]
    Json(#[source] simd_json::Error),
    /// The text is not the TOML that the appliance's file consists of.
    #[error("{0}")]
    Toml(#[source] Box<toml::de::Error>),
    /// The JSON nests deeper than any configuration does.
    #[error("it nests too deep")]
    NestedTooDeep,
    /// A key that the file in force has is not in its replacement.
    #[error("the key {key} is missing")]
    MissingKey {
        /// With the keys above it.
        key: String,
    },
    /// A value that the key cannot have.
    #[error("{key} is {value}, but must be {requirement}")]
    InvalidValue {
        /// With the name of its table or entry.
        key: String,
        /// As the file has it.
        value: String,
        /// What is allowed.
        requirement: String,
    },
    /// An address that other machines could reach.
    #[error("{key}: {address} is not on loopback; {reason}")]
    NotOnLoopback {
        /// With the name of its table.
        key: &'static str,
        /// As the file has it.
        address: SocketAddr,
        /// Why it must be.
        reason: &'static str,
    },
    /// An address without a port, which is to be told to others.
    #[error("{key}: port 0 cannot be told to others; {remedy}")]
    PortUnknown {
        /// With the name of its table.
        key: &'static str,
        /// What to write instead.
        remedy: &'static str,
    },
    /// A list that must not be empty.
    #[error("{key}: at least one is needed")]
    EmptyList {
        /// The list.
        key: &'static str,
    },
    /// An entry without a name.
    #[error("a {kind} has no name")]
    Unnamed {
        /// What it is an entry of.
        kind: &'static str,
    },
    /// Two entries of a list with the same name.
    #[error("{kind} {name:?} comes twice")]
    Duplicate {
        /// What they are entries of.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A tenant's plan that the file does not define.
    #[error("lender {tenant:?} has the unknown plan {plan:?}")]
    UnknownPlan {
        /// The tenant.
        tenant: String,
        /// The plan.
        plan: String,
    },
    /// A plan of a proposed version that the file does not define.
    #[error("plan {plan:?} is none of the file's; a new one needs a restart")]
    PlanNotInFile {
        /// The plan.
        plan: String,
    },
    /// A plan that gives its tenants nothing.
    #[error("plan {plan:?} needs units_per_second and burst above 0")]
    EmptyPlan {
        /// The plan.
        plan: String,
    },
    /// A plan whose ceiling is below its quota.
    #[error("plan {plan:?} has its ceiling below its quota")]
    CeilingBelowQuota {
        /// The plan.
        plan: String,
    },
    /// The stated times of the classes contradict each other.
    #[error("the timing of the classes cannot be kept:\n  {}", join(.0))]
    Timing(Vec<timing::TimingViolation>),
    /// A class of the platform's file whose effect is not known.
    #[error("class {class}: unknown effect {effect:?}")]
    UnknownEffect {
        /// The class.
        class: String,
        /// The effect.
        effect: String,
    },
    /// Replication is configured for an instance that has no name and no key.
    #[error("agreed: it needs [cluster] for this instance's name and the key")]
    ReplicationWithoutCluster,
    /// A replica without a listening address, or the other way round.
    #[error("agreed: a voter needs listen, and only a voter has it")]
    ReplicaWithoutListener,
    /// The lease store could not be asked twice within the shortest period of a job.
    #[error(
        "cluster.store_timeout_ms is {timeout_ms}, more than half of the shortest period, {period_ms}: \
         a lease could not be asked for again in the same period"
    )]
    StoreTimeoutTooLong {
        /// Of the lease store, in milliseconds.
        timeout_ms: u64,
        /// Of the most frequent job or health check, in milliseconds.
        period_ms: u64,
    },
    /// The files since the start have named more classes or plans than are kept.
    #[error("more than {MAX_NUMBERED} classes or plans since the start")]
    TooManyNumbers,
    /// The policy cannot work by these settings.
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

fn join(findings: &[timing::TimingViolation]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n  ")
}

#[cfg(test)]
mod tests;
