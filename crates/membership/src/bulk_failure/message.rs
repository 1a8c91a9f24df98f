//! The messages of bulk failure dissemination.

use crate::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The limit of fingerprints in a message: eight bytes each, and the header, fit into a datagram.
pub(crate) const MAX_FAILURES_PER_MESSAGE: usize = 160;
/// The first byte of these payloads. Those of the gossip begin with the version of an IP address, 0 or 1.
const PAYLOAD_KIND: u8 = 0xFF;

/// A hash of a member's identity including its generation: one start of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct MemberFingerprint(pub(crate) u64);

impl MemberFingerprint {
    /// The fingerprint of a member.
    pub(crate) fn of(member: &Member) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(&postcard::to_stdvec(member).unwrap_or_default()))
    }

    /// Its form in messages.
    pub(crate) fn to_bytes(self) -> [u8; 8] {
        self.0.to_be_bytes()
    }

    /// Reads the form in messages.
    pub(crate) fn from_bytes(bytes: [u8; 8]) -> Self {
        Self(u64::from_be_bytes(bytes))
    }
}

/// A message (postcard: the order of variants and fields, and their types, are the wire format).
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What the sender knows.
    Digest {
        /// Where to send the reply.
        reply_to: SocketAddr,
        /// The exclusive or of the fingerprints of the failures that the sender has learned of lately.
        digest: u64,
    },
    /// Members that have failed, by [`MemberFingerprint::to_bytes`].
    FailedMembers(Vec<[u8; 8]>),
}

impl Message {
    /// The payload of a datagram.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![PAYLOAD_KIND]).unwrap_or_default()
    }

    /// Decodes a payload. `None` where it is not of this kind, `Some(Err)` where it only begins like one.
    pub(crate) fn decode(payload: &[u8]) -> Option<Result<Self, postcard::Error>> {
        payload.strip_prefix(&[PAYLOAD_KIND]).map(postcard::from_bytes)
    }
}
