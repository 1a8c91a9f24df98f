//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a member, as gossip carries it (postcard: the order and the types of the fields are the wire format).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it receives gossip.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    /// Increases with each start, and each time that others declared it dead.
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

/// A known member and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member.
    pub member: Member,
    /// Whether it counts as alive; a suspected member does.
    pub alive: bool,
}
