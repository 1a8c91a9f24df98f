//! A node of the replicated configuration: the driver of [`replicated_config`], which has the sockets, the disk and the clock.
//!
//! [`Node::start`] starts it. One thread owns the state machine ([`replicated_config::Replica`], if this node is a replica, and
//! the node's lease). A replica's log is in [`ReplicaLog`]. Nodes exchange authenticated messages over TCP. All queues are
//! bounded: a full queue drops the message, and its sender retransmits it. [`ConfigView`] is what the gatekeeper is to enforce.

mod config;
mod connection;
mod driver;
mod error;
mod event;
mod frame;
mod message_io;
mod node;
mod replica_log;
mod status;
mod view;

pub use config::{InvalidProposal, NodeConfig, ProposalValidator, ReplicaAddress};
pub use connection::call;
pub use error::Error;
pub use node::Node;
pub use replica_log::ReplicaLog;
pub use replicated_config::{
    ConfigVersion, LeaseRequest, LeaseResponse, Message, Proposal, ProposalId, ProposalOutcome, RequestId,
    RolloutPhase, Version, VersionNumbers, VersionTexts,
};
pub use view::{ConfigView, ViewListener};
