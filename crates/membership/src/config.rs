//! The configuration of membership.

use crate::authentication;
use crate::{MAX_DATAGRAM_BYTES, Member};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members that receive a ping request after a direct probe has timed out.
const INDIRECT_PROBES: usize = 3;
/// Transmissions of one update. The number is high because most transmissions after a bulk failure go to members that are
/// dead but not yet detected.
const MAX_TRANSMISSIONS: u8 = 30;
/// Retention of a dead member, much longer than any delay of a datagram. A member that returns earlier has a greater
/// generation and is accepted at once.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);
/// Members that receive gossip in each gossip period.
const GOSSIP_FANOUT: usize = 3;
/// Dead members that receive an announcement in each join period.
const DEAD_ANNOUNCE_FANOUT: usize = 2;
/// Join periods between two announcements to a live member.
const ANNOUNCE_JOIN_PERIODS: u64 = 5;

/// The configuration of a [`Membership`](crate::Membership).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The identity of this instance.
    pub local_member: Member,
    /// Addresses through which to join the cluster.
    pub seed_peers: Vec<SocketAddr>,
    /// Milliseconds between two probes. Each probes one member.
    pub probe_period_ms: u64,
    /// Milliseconds until an unanswered direct probe is followed by indirect probes.
    pub probe_timeout_ms: u64,
    /// Milliseconds of suspicion after which a member is declared dead.
    pub suspicion_timeout_ms: u64,
    /// Milliseconds between two gossip messages to three random members each.
    pub gossip_period_ms: u64,
    /// Milliseconds between two join attempts through the seed peers, and between two announcements to dead members.
    pub join_period_ms: u64,
    /// The maximum number of members, dead ones in retention included.
    pub max_members: usize,
    /// The maximum number of broadcast topics.
    pub max_topics: usize,
    /// The seed of the random number generator.
    pub rng_seed: u64,
}

impl Config {
    /// Returns the configuration of the SWIM state machine.
    pub(crate) fn swim(&self) -> foca::Config {
        foca::Config {
            probe_period: Duration::from_millis(self.probe_period_ms),
            probe_rtt: Duration::from_millis(self.probe_timeout_ms),
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_millis(self.suspicion_timeout_ms),
            remove_down_after: Some(DEAD_MEMBER_RETENTION),
            max_packet_size: non_zero(MAX_DATAGRAM_BYTES - authentication::OVERHEAD_BYTES),
            notify_down_members: true,
            periodic_announce: periodic(self.join_period_ms * ANNOUNCE_JOIN_PERIODS, 1),
            periodic_announce_to_down_members: periodic(self.join_period_ms, DEAD_ANNOUNCE_FANOUT),
            periodic_gossip: periodic(self.gossip_period_ms, GOSSIP_FANOUT),
        }
    }
}

fn periodic(period_ms: u64, members: usize) -> Option<foca::PeriodicParams> {
    let frequency = Duration::from_millis(period_ms.max(1));
    Some(foca::PeriodicParams { frequency, num_members: non_zero(members) })
}

/// Converts a number, raising 0 to 1.
fn non_zero(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
