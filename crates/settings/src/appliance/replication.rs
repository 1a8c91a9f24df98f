//! The table `[agreed]`: how this instance takes part in the replication of plans.

use super::ClusterConfig;
use crate::SettingsError;
use crate::validation::{check_loopback, check_range, check_unique, invalid};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

const LEASE_DURATIONS_MS: std::ops::RangeInclusive<u64> = 500..=60_000;
/// Numbers of replicas with a useful majority.
const REPLICA_COUNTS: [usize; 2] = [3, 5];

/// How this instance takes part in the replication of plans.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicationConfig {
    /// Where a replica accepts messages (TCP); other instances have none.
    pub listen: Option<SocketAddr>,
    /// The replicas, three or five, in the same order in all files.
    #[serde(rename = "voters")]
    pub replicas: Vec<ReplicaConfig>,
    /// The log of a replica, relative to this file's directory.
    #[serde(default = "default_log")]
    pub log: PathBuf,
    /// Lease duration in milliseconds: after it no two gatekeepers act on versions that contradict each other.
    #[serde(rename = "lease_ms", default = "default_lease_duration_ms")]
    pub lease_duration_ms: u64,
    /// The share of each quota that this gatekeeper grants without a lease.
    #[serde(rename = "when_apart", default = "default_share_without_lease")]
    pub share_without_lease: f64,
}

/// A replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct ReplicaConfig {
    /// Its name, as its own file has it under `[cluster]`.
    pub name: String,
    /// Where this instance reaches it.
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
    /// Checks the table against that of the cluster, which has this instance's name.
    pub(super) fn validate(&self, cluster: Option<&ClusterConfig>) -> Result<(), SettingsError> {
        let cluster = cluster.ok_or(SettingsError::ReplicationWithoutCluster)?;
        self.validate_replicas()?;
        let addresses = self.replicas.iter().map(|replica| replica.address).chain(self.listen);
        check_loopback("agreed", addresses, "messages are authenticated, but can be read")?;
        let is_replica = self.replicas.iter().any(|replica| replica.name == cluster.name);
        if is_replica != self.listen.is_some() {
            return Err(SettingsError::ReplicaWithoutListener);
        }
        check_range("agreed.lease_ms", self.lease_duration_ms, LEASE_DURATIONS_MS)?;
        check_range("agreed.when_apart", self.share_without_lease, 0.0..=1.0)
    }

    fn validate_replicas(&self) -> Result<(), SettingsError> {
        let count = self.replicas.len();
        if !REPLICA_COUNTS.contains(&count) {
            return Err(invalid("agreed.voters", format!("a list of {count}"), "a list of three or five"));
        }
        check_unique("voter", self.replicas.iter().map(|replica| replica.name.as_str()))?;
        for (number, replica) in self.replicas.iter().enumerate() {
            if self.replicas[..number].iter().any(|other| other.address == replica.address) {
                let name = replica.address.to_string();
                return Err(SettingsError::Duplicate { kind: "voter address", name });
            }
        }
        Ok(())
    }
}
