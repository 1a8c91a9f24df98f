//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a member. Gossip carries it encoded with postcard: the order and the types of the fields are the wire
/// format. SWIM's incarnation number, which refutes a suspicion, is not part of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The UDP address at which the member receives gossip.
    pub address: SocketAddr,
    /// The name of the instance, which should be unique; see [`Membership::duplicate_names`](crate::Membership::duplicate_names).
    pub name: String,
    /// The generation, which increases at each start and each time others have declared the member dead.
    pub generation: u64,
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self { generation: self.generation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.generation > other.generation
    }
}

/// A known member and whether it is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The identity, with the greatest known generation.
    pub member: Member,
    /// Whether the member is alive. A suspected member counts as alive.
    pub alive: bool,
}
