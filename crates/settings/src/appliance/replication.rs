//! The table `[agreed]`: replication of plans.

use super::ClusterConfig;
use crate::SettingsError;
use crate::validation::{check_loopback, check_range, check_unique, invalid_value};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

const LEASE_DURATION_RANGE_MS: RangeInclusive<u64> = 500..=60_000;
/// Allowed numbers of replicas, which tolerate one and two failures.
const REPLICA_COUNTS: [usize; 2] = [3, 5];

/// Replication of plans among gatekeepers by Raft.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicationConfig {
    /// TCP address at which a replica accepts messages; `None` for instances that are not replicas.
    pub listen: Option<SocketAddr>,
    /// Three or five replicas, in the same order in the files of all instances.
    #[serde(rename = "voters")]
    pub replicas: Vec<ReplicaConfig>,
    /// File with the Raft log of a replica, relative to the directory of this file.
    #[serde(default = "default_log")]
    pub log: PathBuf,
    /// Lease duration in milliseconds. Once the duration has passed, no two gatekeepers apply contradictory versions.
    #[serde(rename = "lease_ms", default = "default_lease_duration_ms")]
    pub lease_duration_ms: u64,
    /// Share of each quota that this gatekeeper grants without a lease.
    #[serde(rename = "when_apart", default = "default_share_without_lease")]
    pub share_without_lease: f64,
}

/// A member of the Raft group that replicates the plans.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct ReplicaConfig {
    /// Name of the replica, as in the table `[cluster]` of its own file.
    pub name: String,
    /// Address at which this instance reaches the replica.
    pub address: SocketAddr,
}

fn default_log() -> PathBuf {
    "agreed/voter.log".into()
}

fn default_lease_duration_ms() -> u64 {
    3_000
}

fn default_share_without_lease() -> f64 {
    0.5
}

impl ReplicationConfig {
    /// Validates the table `[agreed]`. The name of this instance comes from the table `[cluster]`.
    pub(super) fn validate(&self, cluster: Option<&ClusterConfig>) -> Result<(), SettingsError> {
        let cluster = cluster.ok_or(SettingsError::ReplicationWithoutCluster)?;
        self.validate_replicas()?;
        let addresses = self.replicas.iter().map(|replica| replica.address).chain(self.listen);
        check_loopback("agreed", addresses, "messages are authenticated, but not encrypted")?;
        let is_replica = self.replicas.iter().any(|replica| replica.name == cluster.name);
        if is_replica != self.listen.is_some() {
            return Err(SettingsError::ReplicaListenerMismatch);
        }
        check_range("agreed.lease_ms", self.lease_duration_ms, LEASE_DURATION_RANGE_MS)?;
        check_range("agreed.when_apart", self.share_without_lease, 0.0..=1.0)
    }

    fn validate_replicas(&self) -> Result<(), SettingsError> {
        let count = self.replicas.len();
        if !REPLICA_COUNTS.contains(&count) {
            return Err(invalid_value(
                "agreed.voters",
                format!("a list of {count}"),
                "a list of three or five",
            ));
        }
        check_unique("voter", self.replicas.iter().map(|replica| replica.name.as_str()))?;
        for (position, replica) in self.replicas.iter().enumerate() {
            if self.replicas[..position].iter().any(|other| other.address == replica.address) {
                let name = replica.address.to_string();
                return Err(SettingsError::Duplicate { kind: "voter address", name });
            }
        }
        Ok(())
    }
}
