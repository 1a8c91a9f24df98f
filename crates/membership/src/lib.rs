//! Cluster membership and failure detection by SWIM gossip, in authenticated datagrams, without I/O.
//!
//! [`Membership`] wraps the state machine of the crate `foca` (Das, Gupta and Motivala, "SWIM", 2002). Datagrams and
//! time go in; datagrams to send, membership changes and broadcasts come out. [`authentication`] decides which datagrams
//! belong to the cluster. Broadcasts are small versioned messages, one topic each, that travel with the gossip; an older
//! version never replaces a newer one.
//!
//! Invariants:
//!
//! - A datagram is decoded only after its message authentication code was verified, and none is larger than
//!   [`MAX_DATAGRAM_BYTES`].
//! - An instance that restarts, or that others declared dead, has a greater generation than before, so what was gossiped
//!   about its earlier generation does not count against it.
//! - Members and topics are bounded; what exceeds a bound is dropped and counted.

pub mod authentication;
mod bulk_failure;
mod config;
mod member;
mod membership;
mod output;
mod swim;
mod topics;

pub use config::Config;
pub use member::{Member, MemberStatus};
pub use membership::Membership;
pub use output::{Counts, Output};

/// The size limit of a datagram: what crosses an ordinary network unfragmented (RFC 8085, section 3.2).
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
