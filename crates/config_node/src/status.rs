//! A node's status as the console shows it.

use replicated_config::{ConfigVersion, Progress};
use std::fmt;

/// A node's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Status {
    /// The version in force; 0 for none.
    pub(crate) version: ConfigVersion,
    /// The proposed version; 0 for none.
    pub(crate) proposed: ConfigVersion,
    /// How long the lease still lasts.
    pub(crate) lease_ms: u64,
    pub(crate) replica: ReplicaStatus,
}

/// The status of a node's replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaStatus {
    /// It votes. The leader is a node's name.
    Voting { progress: Progress, leader: Option<String> },
    /// Its log cannot be used: it does not vote.
    WithoutLog,
    /// The node is no replica.
    NotAReplica,
}

impl fmt::Display for Status {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { version, proposed, lease_ms, replica } = self;
        writeln!(formatter, "agreed\n  version {version}  proposed {proposed}  lease {lease_ms} ms")?;
        match replica {
            ReplicaStatus::Voting { progress: Progress { term, committed }, leader } => {
                let leader = leader.as_deref().unwrap_or("nobody");
                writeln!(formatter, "  voter  term {term}  entries {committed}  {leader} leads")
            }
            ReplicaStatus::WithoutLog => {
                writeln!(formatter, "  voter without a log: it does not vote")
            }
            ReplicaStatus::NotAReplica => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
