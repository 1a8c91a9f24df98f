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
/// The minimum period of periodic messages.
const MIN_PERIOD: Duration = Duration::from_millis(1);
/// Join periods between two announcements to a live member.
const ANNOUNCE_JOIN_PERIODS: u32 = 5;

/// The configuration of a [`Membership`](crate::Membership).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The identity of this instance.
    pub local_member: Member,
    /// Addresses through which to join the cluster.
    pub seed_peers: Vec<SocketAddr>,
    /// The time between two probes. Each probes one member.
    pub probe_period: Duration,
    /// The time until an unanswered direct probe is followed by indirect probes.
    pub probe_timeout: Duration,
    /// The time of suspicion after which a member is declared dead.
    pub suspicion_timeout: Duration,
    /// The time between two gossip messages to three random members each.
    pub gossip_period: Duration,
    /// The time between two join attempts through the seed peers, and between two announcements to dead members.
    pub join_period: Duration,
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
            probe_period: self.probe_period,
            probe_rtt: self.probe_timeout,
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspicion_timeout,
            remove_down_after: Some(DEAD_MEMBER_RETENTION),
            max_packet_size: non_zero(MAX_DATAGRAM_BYTES - authentication::OVERHEAD_BYTES),
            notify_down_members: true,
            periodic_announce: periodic(self.join_period * ANNOUNCE_JOIN_PERIODS, 1),
            periodic_announce_to_down_members: periodic(self.join_period, DEAD_ANNOUNCE_FANOUT),
            periodic_gossip: periodic(self.gossip_period, GOSSIP_FANOUT),
        }
    }
}

fn periodic(period: Duration, members: usize) -> Option<foca::PeriodicParams> {
    let frequency = period.max(MIN_PERIOD);
    Some(foca::PeriodicParams { frequency, num_members: non_zero(members) })
}

/// Converts a number, raising 0 to 1.
fn non_zero(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
