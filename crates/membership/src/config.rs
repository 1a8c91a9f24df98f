//! The configuration of the gossip.

use crate::authentication;
use crate::{MAX_DATAGRAM_BYTES, Member};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members that are asked to probe on another's behalf when a direct probe is not answered.
const INDIRECT_PROBES: usize = 3;
/// Transmissions of one update. Many, since after a bulk failure most of them go to members that are dead but not yet
/// known to be.
const MAX_TRANSMISSIONS: u8 = 30;
/// How long a dead member is remembered: long against any delay of a datagram. The generation takes care of members that
/// return within it.
const REMEMBER_DEAD_FOR: Duration = Duration::from_secs(600);
/// Members that get gossip in each gossip period.
const GOSSIP_FANOUT: usize = 3;
/// Dead members to which this one announces itself in each join period.
const DEAD_ANNOUNCE_FANOUT: usize = 2;
/// Join periods between two announcements to a live member.
const ANNOUNCE_JOIN_PERIODS: u64 = 5;

/// How membership is maintained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// This instance.
    pub local_member: Member,
    /// Addresses through which to join the cluster.
    pub seed_peers: Vec<SocketAddr>,
    /// One member is probed in each period of this many milliseconds.
    pub probe_period_ms: u64,
    /// Milliseconds within which a probe should be answered; indirect probes follow.
    pub probe_timeout_ms: u64,
    /// Milliseconds after which a suspected member is declared dead.
    pub suspicion_timeout_ms: u64,
    /// Gossip goes to three members in each period of this many milliseconds.
    pub gossip_period_ms: u64,
    /// Milliseconds between two attempts to join by the seed peers, and between two announcements to dead members.
    pub join_period_ms: u64,
    /// The bound on members, alive or remembered.
    pub max_members: usize,
    /// The bound on broadcast topics.
    pub max_topics: usize,
    /// Seeds all random choices.
    pub rng_seed: u64,
}

impl Config {
    /// The same for the SWIM state machine.
    pub(crate) fn swim(&self) -> foca::Config {
        foca::Config {
            probe_period: Duration::from_millis(self.probe_period_ms),
            probe_rtt: Duration::from_millis(self.probe_timeout_ms),
            num_indirect_probes: at_least_one(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_millis(self.suspicion_timeout_ms),
            remove_down_after: Some(REMEMBER_DEAD_FOR),
            max_packet_size: at_least_one(MAX_DATAGRAM_BYTES - authentication::OVERHEAD_BYTES),
            notify_down_members: true,
            periodic_announce: periodic(self.join_period_ms * ANNOUNCE_JOIN_PERIODS, 1),
            periodic_announce_to_down_members: periodic(self.join_period_ms, DEAD_ANNOUNCE_FANOUT),
            periodic_gossip: periodic(self.gossip_period_ms, GOSSIP_FANOUT),
        }
    }
}

fn periodic(period_ms: u64, members: usize) -> Option<foca::PeriodicParams> {
    let frequency = Duration::from_millis(period_ms.max(1));
    Some(foca::PeriodicParams { frequency, num_members: at_least_one(members) })
}

fn at_least_one(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
