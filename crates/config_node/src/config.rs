//! What a node is started with.

use membership::authentication::Keyring;
use replicated_config::ReplicaId;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A replica as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// The name of its node.
    pub name: String,
    /// Where this node reaches it.
    pub address: SocketAddr,
}

/// How a node takes part in the replicated configuration.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The node's name, unique among all nodes.
    pub name: String,
    /// Where it accepts connections, if it is a replica.
    pub listen: Option<SocketAddr>,
    /// The replicas, in the same order at every node.
    pub replicas: Vec<ReplicaAddress>,
    /// The keys that authenticate messages.
    pub keys: Keyring,
    /// The file of a replica's log.
    pub log: PathBuf,
    /// How long a lease lasts.
    pub lease_duration: Duration,
}

impl NodeConfig {
    /// This node's id as a replica, if it is one.
    pub(crate) fn replica_id(&self) -> Option<ReplicaId> {
        self.replicas.iter().position(|replica| replica.name == self.name).map(ReplicaId::from_index)
    }

    /// The ids of all replicas.
    pub(crate) fn replica_ids(&self) -> Vec<ReplicaId> {
        (0..self.replicas.len()).map(ReplicaId::from_index).collect()
    }

    /// How long a lease lasts, in milliseconds.
    pub(crate) fn lease_duration_ms(&self) -> u64 {
        self.lease_duration.as_millis() as u64
    }
}

/// Why a proposed text is not valid. The proposer gets it as [`ProposalOutcome::Rejected`](crate::ProposalOutcome::Rejected).
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidProposal(pub String);

/// Validates a proposed text before the leader appends it to the log.
pub type ProposalValidator = Box<dyn Fn(&str) -> Result<(), InvalidProposal> + Send>;
