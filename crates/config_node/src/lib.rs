//! A node of the replicated configuration: drives the state machines of [`replicated_config`] with sockets, a disk and a clock.
//!
//! [`Node::start`] starts a node. One thread owns its state: the [`replicated_config::Replica`], if the node is one of the
//! replicas, and the node's lease. A replica keeps its log in a [`ReplicaLog`]. Nodes exchange authenticated messages over TCP.
//! Queues of messages are bounded: a full queue drops the message, and its sender retransmits it. [`ConfigView`] tells the
//! gatekeeper which versions to enforce.

mod call;
mod client_connections;
mod clock;
mod config;
mod connection;
mod connection_id;
mod driver;
mod error;
mod event;
mod lease_requester;
mod lease_watch;
mod local_replica;
mod message_io;
mod message_queue;
mod node;
mod peers;
mod replica_log;
mod status;
mod view;

pub use call::call_replica;
pub use config::{InvalidProposal, NodeConfig, ProposalValidator, ReplicaAddress};
pub use error::Error;
pub use node::Node;
pub use replica_log::ReplicaLog;
pub use replicated_config::{
    ConfigVersion, LeaseRequest, LeaseResponse, Message, Proposal, ProposalId, ProposalOutcome, RequestId,
    RolloutPhase, Version, VersionNumbers, VersionTexts,
};
pub use view::{ConfigView, ViewListener};
