//! Messages between nodes. Their encoding is positional: the order of fields and variants is part of it, their names are not.

use crate::error::Error;
use crate::ids::{ProposalId, ReplicaId, RequestId};
use crate::limits::MAX_MESSAGE_BYTES;
use crate::raft_message::RaftMessage;
use crate::state::{Proposal, ProposalOutcome};
use crate::version::{ConfigVersion, RolloutPhase, Version};
use serde::{Deserialize, Serialize};

/// A message from one node to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Raft's own messages, between replicas.
    Raft(Box<RaftMessage>),
    /// A client asks the leader for the latest version.
    LeaseRequest(LeaseRequest),
    /// The leader's response, with the texts that the client lacks.
    LeaseResponse(LeaseResponse, Box<VersionTexts>),
    /// The asked replica is not the leader.
    RedirectLeaseRequest {
        /// The request that was not answered.
        request: RequestId,
        /// The leader, where one is known.
        leader: Option<ReplicaId>,
    },
    /// The replica that a proposal was sent to is not the leader.
    RedirectProposal {
        /// The proposal.
        proposal: ProposalId,
        /// The leader, where one is known.
        leader: Option<ReplicaId>,
    },
    /// The leader notifies lease holders that the latest version, or its phase, has changed, so that they ask at once.
    VersionChanged(ConfigVersion),
    /// A client proposes a version.
    Propose(Proposal),
    /// What became of a proposal.
    ProposalOutcome {
        /// The proposal.
        proposal: ProposalId,
        /// Its outcome.
        outcome: ProposalOutcome,
    },
}

/// A client's question for the latest version.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct LeaseRequest {
    /// The client's name.
    pub client: String,
    /// The client's id for this request.
    pub id: RequestId,
    /// Whether the client wants a lease. A client that only reads, such as the command line, must not delay the next rollout.
    pub wants_lease: bool,
    /// The latest version that the client knew of when it sent the request.
    pub known_version: ConfigVersion,
    /// The versions whose texts the client has.
    pub cached: VersionNumbers,
}

/// The numbers of the version in force and of the proposed one; 0 for none.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct VersionNumbers {
    /// The version in force.
    pub in_force: ConfigVersion,
    /// The proposed version.
    pub proposed: ConfigVersion,
}

/// The leader's response to a [`LeaseRequest`]. It is sent once a majority has confirmed, after the request came, that the
/// sender still leads.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct LeaseResponse {
    /// The request that it answers.
    pub request: RequestId,
    /// The number of the latest version; 0 before the first.
    pub version: ConfigVersion,
    /// The latest version's phase.
    pub phase: RolloutPhase,
}

/// The texts of the version in force and of the proposed one, each where the recipient lacks it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct VersionTexts {
    /// The version in force.
    pub in_force: Option<Version>,
    /// The version that is to follow it.
    pub proposed: Option<Version>,
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into a vector fails for no type that a message holds.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// [`Error::MessageTooLarge`] beyond [`MAX_MESSAGE_BYTES`]; [`Error::MalformedMessage`] where the bytes are no message.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::MessageTooLarge { bytes: bytes.len() });
        }
        postcard::from_bytes(bytes).map_err(Error::MalformedMessage)
    }
}
