//! The configuration of membership.

use crate::authentication;
use crate::{MAX_DATAGRAM_BYTES, Member};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The number of members that receive a ping-req after a direct ping has timed out.
const INDIRECT_PROBES: usize = 3;
/// The number of times that a membership update is piggybacked on gossip. The number is high because, after a bulk failure,
/// most of these transmissions go to dead members that are not yet detected as dead.
const MAX_TRANSMISSIONS: u8 = 30;
/// The time for which a dead member is remembered, much longer than any delay of a datagram. A member that restarts within
/// this time has a greater generation and is accepted at once.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);
/// The number of members that receive gossip in each gossip period.
const GOSSIP_FANOUT: usize = 3;
/// The number of dead members that receive an announcement in each join period.
const DEAD_ANNOUNCE_FANOUT: usize = 2;
/// The lower limit of the periods of gossip and announcements.
const MIN_PERIOD: Duration = Duration::from_millis(1);
/// The time between two announcements to a random live member, in join periods.
const ANNOUNCE_JOIN_PERIODS: u32 = 5;

/// The configuration of a [`Membership`](crate::Membership).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The identity under which this instance joins.
    pub local_member: Member,
    /// The gossip addresses of members through which to join. The address of this instance may be among them.
    pub seed_peers: Vec<SocketAddr>,
    /// The time between two probes (SWIM's protocol period). Each probes one member.
    pub probe_period: Duration,
    /// The time after which an unanswered direct ping is followed by ping-reqs to other members.
    pub probe_timeout: Duration,
    /// The time for which a member is suspected before it is declared dead.
    pub suspicion_timeout: Duration,
    /// The time between two rounds of gossip, each to three random members.
    pub gossip_period: Duration,
    /// The time between two join attempts through the seed peers, and between two announcements to dead members.
    pub join_period: Duration,
    /// The limit on known members, remembered dead members included. Once this number of members is known, datagrams from
    /// unknown senders are dropped.
    pub max_members: usize,
    /// The maximum number of broadcast topics. Broadcasts on further topics are dropped.
    pub max_topics: usize,
    /// The seed of the random number generator. Equal seeds and inputs give equal outputs.
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
            periodic_announce: periodic_params(self.join_period * ANNOUNCE_JOIN_PERIODS, 1),
            periodic_announce_to_down_members: periodic_params(self.join_period, DEAD_ANNOUNCE_FANOUT),
            periodic_gossip: periodic_params(self.gossip_period, GOSSIP_FANOUT),
        }
    }
}

fn periodic_params(period: Duration, member_count: usize) -> Option<foca::PeriodicParams> {
    let frequency = period.max(MIN_PERIOD);
    Some(foca::PeriodicParams { frequency, num_members: non_zero(member_count) })
}

/// Converts a number, raising 0 to 1.
fn non_zero(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
