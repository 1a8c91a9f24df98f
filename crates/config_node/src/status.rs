//! A node's status as the admin console shows it.

use replicated_config::{ConfigVersion, Progress};
use std::fmt;
use std::time::Duration;

/// The versions, the remaining lease and the replica of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Status {
    /// Number of the version in force; [`ConfigVersion::NONE`] before the first version is in force.
    pub(crate) in_force: ConfigVersion,
    /// Number of the proposed version; [`ConfigVersion::NONE`] if no version is proposed.
    pub(crate) proposed: ConfigVersion,
    /// Time until the lease expires; zero without a valid lease.
    pub(crate) remaining_lease: Duration,
    /// The status of the node's replica.
    pub(crate) replica: ReplicaStatus,
}

/// The status of a node's replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaStatus {
    /// The replica votes. `leader` is the name of the leader's node.
    Voting { progress: Progress, leader: Option<String> },
    /// The replica does not vote, because its log is unusable.
    UnusableLog,
    /// The node is not a replica.
    NotAReplica,
}

impl fmt::Display for Status {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { in_force, proposed, remaining_lease, replica } = self;
        let lease_ms = remaining_lease.as_millis();
        writeln!(formatter, "agreed\n  version {in_force}  proposed {proposed}  lease {lease_ms} ms")?;
        match replica {
            ReplicaStatus::Voting { progress: Progress { term, committed }, leader } => {
                let leader = leader.as_deref().unwrap_or("nobody");
                writeln!(formatter, "  voter  term {term}  entries {committed}  {leader} leads")
            }
            ReplicaStatus::UnusableLog => {
                writeln!(formatter, "  voter without a log: it does not vote")
            }
            ReplicaStatus::NotAReplica => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
