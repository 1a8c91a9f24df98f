//! Messages between nodes. The encoding is positional: it depends on the order of fields and variants, not on their names.

use crate::encoding::encode;
use crate::error::Error;
use crate::ids::{ProposalId, ReplicaId, RequestId};
use crate::limits::MAX_MESSAGE_BYTES;
use crate::raft_message::RaftMessage;
use crate::state::{Proposal, ProposalOutcome};
use crate::version::{ConfigVersion, LatestVersion, RolloutPhase, Version};
use serde::{Deserialize, Serialize};

/// A message from one node to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A Raft message between replicas.
    Raft(Box<RaftMessage>),
    /// A client asks the leader for the latest version, usually with a lease.
    LeaseRequest(LeaseRequest),
    /// The leader answers a lease request, with the texts that the client lacks.
    LeaseResponse(LeaseResponse, Box<VersionTexts>),
    /// A replica that is not the leader answers a lease request.
    RedirectLeaseRequest {
        /// The id of the redirected request.
        request: RequestId,
        /// The leader, if the replica knows one.
        leader: Option<ReplicaId>,
    },
    /// A replica that is not the leader answers a proposal.
    RedirectProposal {
        /// The id of the redirected proposal.
        proposal: ProposalId,
        /// The leader, if the replica knows one.
        leader: Option<ReplicaId>,
    },
    /// The leader notifies lease holders that the latest version or its phase has changed, so that they send a lease request at
    /// once.
    VersionChanged(ConfigVersion),
    /// A client proposes a version.
    Propose(Proposal),
    /// The leader answers a proposal.
    ProposalOutcome {
        /// The id of the answered proposal.
        proposal: ProposalId,
        /// Whether the proposal was accepted, or why it was not.
        outcome: ProposalOutcome,
    },
}

/// A client's request for the latest version.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct LeaseRequest {
    /// The client's name. The leader records the lease under this name.
    pub client: String,
    /// The client's id for this request, which the response repeats.
    pub id: RequestId,
    /// Whether the client asks for a lease. A client that only reads, such as the command line, must not delay the next rollout.
    pub wants_lease: bool,
    /// The latest version that the client knew of when it sent the request.
    pub known_version: ConfigVersion,
    /// Numbers of the versions whose texts the client has. The response leaves these texts out.
    pub cached: VersionNumbers,
}

/// The numbers of the version in force and of the proposed version. [`ConfigVersion::NONE`] stands for a missing version.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct VersionNumbers {
    /// Number of the version in force.
    pub in_force: ConfigVersion,
    /// Number of the version that is proposed and not yet in force.
    pub proposed: ConfigVersion,
}

/// The leader's response to a [`LeaseRequest`].
///
/// The leader sends the response only after a quorum has confirmed that it is still the leader. The round of this confirmation
/// starts after the request has arrived.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct LeaseResponse {
    /// The id of the answered request.
    pub request: RequestId,
    /// Number of the latest version, proposed or in force; [`ConfigVersion::NONE`] before the first version is proposed.
    pub version: ConfigVersion,
    /// Whether the latest version is proposed or in force.
    pub phase: RolloutPhase,
}

/// The version in force and the proposed version, with their texts. Versions whose texts the recipient has already are left
/// out.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct VersionTexts {
    /// The version in force; `None` if no version is in force or the recipient has its text.
    pub in_force: Option<Version>,
    /// The proposed version; `None` if no version is proposed or the recipient has its text.
    pub proposed: Option<Version>,
}

impl LeaseResponse {
    /// Returns the latest version and its phase.
    pub fn latest(&self) -> LatestVersion {
        LatestVersion { number: self.version, phase: self.phase }
    }
}

impl VersionTexts {
    /// Returns the numbers of the two versions; [`ConfigVersion::NONE`] for an absent version.
    pub fn numbers(&self) -> VersionNumbers {
        VersionNumbers {
            in_force: ConfigVersion::number_of(self.in_force.as_ref()),
            proposed: ConfigVersion::number_of(self.proposed.as_ref()),
        }
    }
}

impl Message {
    /// Encodes the message, without authentication or a length prefix.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a message that [`Message::encode`] has encoded.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MessageTooLarge`] for more than [`MAX_MESSAGE_BYTES`], and [`Error::MalformedMessage`] if the bytes do
    /// not encode a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::MessageTooLarge { bytes: bytes.len() });
        }
        postcard::from_bytes(bytes).map_err(Error::MalformedMessage)
    }
}
