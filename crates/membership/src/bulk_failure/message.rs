//! The messages of bulk failure dissemination.

use crate::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum number of fingerprints in a message. At eight bytes each they fit into a datagram with the header.
pub(crate) const MAX_FAILURES_PER_MESSAGE: usize = 160;
/// The first byte of these payloads. SWIM payloads start with the variant of an IP address, 0 or 1.
const PAYLOAD_KIND: u8 = 0xFF;

/// The hash of a member's identity, its generation included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct MemberFingerprint(pub(crate) u64);

impl MemberFingerprint {
    /// Returns the fingerprint of a member.
    pub(crate) fn of(member: &Member) -> Self {
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
        /// The address for the reply.
        reply_to: SocketAddr,
        /// The exclusive or of the fingerprints of the recent failures.
        digest: u64,
    },
    /// Failed members, as encoded by [`MemberFingerprint::to_bytes`].
    FailedMembers(Vec<[u8; 8]>),
}

impl Message {
    /// Encodes the message as the payload of a datagram.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![PAYLOAD_KIND]).unwrap_or_default()
    }

    /// Decodes a payload. Returns `None` for a SWIM payload and `Some(Err)` for a malformed message.
    pub(crate) fn decode(payload: &[u8]) -> Option<Result<Self, postcard::Error>> {
        payload.strip_prefix(&[PAYLOAD_KIND]).map(postcard::from_bytes)
    }
}
