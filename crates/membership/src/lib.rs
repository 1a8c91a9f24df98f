//! Cluster membership and failure detection by SWIM gossip, in authenticated datagrams, without I/O.
//!
//! [`Membership`] wraps the state machine of the crate `foca` (Das, Gupta and Motivala, "SWIM", 2002). Its inputs are
//! datagrams and the time. Its outputs are datagrams to send, membership changes and received broadcasts.
//! [`authentication`] verifies that the sender of a datagram has a key of the cluster. A broadcast is a small versioned
//! message on a topic. Broadcasts are piggybacked on gossip, and an older version never replaces a newer one.
//!
//! Invariants:
//!
//! - A datagram is decoded only after its message authentication code has been verified. No datagram is larger than
//!   [`MAX_DATAGRAM_BYTES`].
//! - An instance increases its generation when it restarts and when others declare it dead. Updates about an earlier
//!   generation do not affect it.
//! - At the limit of members, datagrams from unknown senders are dropped. At the limit of topics, broadcasts on unknown
//!   topics are dropped. [`Counts::over_capacity`] counts both.

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

/// The maximum size of a datagram, its authentication code included. Datagrams of this size avoid IP fragmentation on
/// common networks (RFC 8085, section 3.2).
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
