//! Replicated configuration without I/O: gatekeepers agree on versions of the settings through Raft, and hold leases that
//! limit how long they may act on the version that they know.
//!
//! - [`Replica`] is one of the three or five Raft replicas. It wraps the state machine of the crate `raft`, applies committed
//!   commands to a [`ConfigState`], and grants leases while it is the leader.
//! - [`ConfigState`] is the replicated state: the version in force, the proposed version, and the outcomes of recent proposals.
//! - [`LeaseClient`] holds a gatekeeper's lease on the latest version. [`LeaseTable`] is the leader's record of granted leases.
//! - [`Message`] is exchanged between nodes. [`DurableState`] is what a replica keeps on disk. Each [`LogRecord`] updates it.
//!
//! docs/design/replicated-config.md explains the protocol and its reasons.
//!
//! Invariants:
//!
//! - The caller writes the records of a [`Ready`] to disk before it sends any message of the same [`Ready`].
//! - Two gatekeepers that hold leases enforce the same version, or one of them also enforces the proposed successor of that
//!   version, taking the stricter value of each setting.
//! - All times are readings of the node's own monotonic clock. Clocks of different nodes are never compared.
//! - Commands, logs, pending requests and recorded outcomes are bounded.

mod encoding;
mod error;
mod ids;
mod lease;
mod limits;
mod log;
mod log_position;
mod message;
mod raft_message;
mod raft_storage;
mod replica;
mod state;
mod version;

pub use error::Error;
pub use ids::{ProposalId, ReplicaId, RequestId};
pub use lease::{AddressedRequest, LeaseClient, LeaseTable};
pub use limits::{MAX_MESSAGE_BYTES, MAX_TEXT_BYTES};
pub use log::{DurableState, HardState, LogEntry, LogRecord, Snapshot};
pub use log_position::{LogIndex, Term};
pub use message::{LeaseRequest, LeaseResponse, Message, VersionNumbers, VersionTexts};
pub use raft_message::RaftMessage;
pub use replica::{Envelope, Progress, Ready, Replica};
pub use state::{Command, ConfigState, Proposal, ProposalOutcome};
pub use version::{ConfigVersion, LatestVersion, RolloutPhase, Version};
