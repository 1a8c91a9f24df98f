//! The messages of bulk failure dissemination.

use crate::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum number of fingerprints in a message. At eight bytes each, they fit into a datagram together with its header.
pub(crate) const MAX_FAILURES_PER_MESSAGE: usize = 160;
/// The first byte of the payloads of bulk failure dissemination. A SWIM payload starts with the variant of its sender's IP
/// address, 0 or 1.
const BULK_FAILURE_MARKER: u8 = 0xFF;

/// The hash of a member's identity, its generation included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct MemberFingerprint(pub(crate) u64);

impl MemberFingerprint {
    /// Hashes the member's identity.
    pub(crate) fn of_member(member: &Member) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(&postcard::to_stdvec(member).unwrap_or_default()))
    }

    /// Encodes the fingerprint for a message.
    pub(crate) fn to_bytes(self) -> [u8; 8] {
        self.0.to_be_bytes()
    }

    /// Decodes a fingerprint from a message.
    pub(crate) fn from_bytes(bytes: [u8; 8]) -> Self {
        Self(u64::from_be_bytes(bytes))
    }
}

/// A message, encoded with postcard: the order of variants and fields, and their types, are the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The digest of the failures that the sender knows.
    Digest {
        /// The gossip address of the sender, to which the receiver replies.
        reply_to: SocketAddr,
        /// The exclusive or of the fingerprints in the sender's failure log.
        digest: u64,
    },
    /// The fingerprints of failed members, each encoded by [`MemberFingerprint::to_bytes`].
    FailedMembers(Vec<[u8; 8]>),
}

impl Message {
    /// Encodes the message as the payload of a datagram.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![BULK_FAILURE_MARKER]).unwrap_or_default()
    }

    /// Decodes a payload. Returns `None` for a SWIM payload and `Some(Err)` for a malformed message.
    pub(crate) fn decode(payload: &[u8]) -> Option<Result<Self, postcard::Error>> {
        payload.strip_prefix(&[BULK_FAILURE_MARKER]).map(postcard::from_bytes)
    }
}
