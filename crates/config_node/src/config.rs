//! The configuration of a node.

use membership::authentication::Keyring;
use replicated_config::ReplicaId;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A configured replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// The name of the node on which the replica runs.
    pub name: String,
    /// The address to which this node connects to reach the replica.
    pub address: SocketAddr,
}

/// The settings with which a node is started.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The node's name, unique among all nodes. The node is a replica if `replicas` has this name.
    pub name: String,
    /// The address at which a replica accepts connections; `None` if the node is not a replica.
    pub listen: Option<SocketAddr>,
    /// The replicas, in the same order at every node.
    pub replicas: Vec<ReplicaAddress>,
    /// The keys that authenticate messages between nodes.
    pub keys: Keyring,
    /// Path of the replica's log file. Unused if the node is not a replica.
    pub log: PathBuf,
    /// How long a lease is valid, counted from the time at which the node sent the lease request.
    pub lease_duration: Duration,
}

impl NodeConfig {
    /// Returns this node's replica id, or `None` if it is not a replica.
    pub(crate) fn replica_id(&self) -> Option<ReplicaId> {
        self.replicas.iter().position(|replica| replica.name == self.name).map(ReplicaId::from_index)
    }

    /// Returns the ids of all replicas.
    pub(crate) fn replica_ids(&self) -> Vec<ReplicaId> {
        (0..self.replicas.len()).map(ReplicaId::from_index).collect()
    }
}

/// The reason why a proposed text is invalid. The proposer receives it in
/// [`ProposalOutcome::Rejected`](crate::ProposalOutcome::Rejected).
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidProposal(pub String);

/// Validates a proposed text before the leader appends it to the log.
pub type ProposalValidator = Box<dyn Fn(&str) -> Result<(), InvalidProposal> + Send>;
