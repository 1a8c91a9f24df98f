//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a member. Gossip carries it encoded with postcard: the order and the types of the fields are the wire
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address that receives its gossip.
    pub address: SocketAddr,
    /// Its name.
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
    /// The member.
    pub member: Member,
    /// Whether the member is alive. A suspected member still is.
    pub alive: bool,
}
