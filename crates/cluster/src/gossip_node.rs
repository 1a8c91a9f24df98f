//! Gossip over UDP: tracks the members of the cluster and disseminates health reports.

use crate::job_names;
use crate::log_limiter::{LogKind, LogLimiter, LogPermit};
use crate::settings::Gossip;
use health_check::HealthReport;
use membership::authentication::Keyring;
use membership::{Counts, Member, MemberStatus, Membership, Output};
use std::net::UdpSocket;
use std::sync::Arc;
use timestamps::{MonotonicTime, UnixTime};

/// The limit on known members. Once this number of members is known, datagrams from unknown senders are dropped.
const MAX_MEMBERS: usize = 1_024;
/// The maximum number of broadcast topics, one per backend.
const MAX_TOPICS: usize = 16_384;
/// The time between two probes, in gossip periods.
const PROBE_GOSSIP_PERIODS: u32 = 4;
/// The time between two join attempts, in gossip periods.
const JOIN_GOSSIP_PERIODS: u32 = 10;

/// A health report received from another member.
#[derive(Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) backend_id: String,
    pub(crate) report: HealthReport,
}

/// The changes that follow from a datagram, a tick or a call of [`GossipNode`].
#[derive(Debug, Default)]
pub(crate) struct GossipChanges {
    pub(crate) reports: Vec<ReceivedReport>,
    /// The names of the live members, including this instance. `None` if the live members have not changed.
    pub(crate) alive_names: Option<Vec<String>>,
}

/// This instance's view of the cluster members, and the socket for gossip.
pub(crate) struct GossipNode {
    membership: Membership,
    socket: Arc<UdpSocket>,
    log_limiter: LogLimiter,
    /// The number of authentication failures that [`GossipNode::log_authentication_failures`] last saw.
    authentication_failures: u64,
    /// The names that several live members shared when the members last changed.
    duplicate_names: Vec<String>,
}

impl GossipNode {
    /// Creates the node of an instance that starts at `started_at`, which becomes the generation of its identity.
    pub(crate) fn new(
        gossip: &Gossip,
        instance_name: &str,
        started_at: UnixTime,
        socket: Arc<UdpSocket>,
    ) -> Self {
        let config = membership_config(gossip, instance_name, started_at);
        Self {
            membership: Membership::new(config, gossip.keyring.clone()),
            socket,
            log_limiter: LogLimiter::default(),
            authentication_failures: 0,
            duplicate_names: Vec::new(),
        }
    }

    /// Returns the time at which the caller must call [`GossipNode::tick`] next.
    pub(crate) fn next_tick(&self) -> MonotonicTime {
        self.membership.next_tick()
    }

    /// Returns the counters of sent, received and dropped gossip.
    pub(crate) fn counts(&self) -> Counts {
        self.membership.counts()
    }

    /// Returns all known members, excluding this instance.
    pub(crate) fn members(&self) -> Vec<MemberStatus> {
        self.membership.members()
    }

    /// Replaces the keys that authenticate datagrams.
    pub(crate) fn set_keyring(&mut self, keyring: Keyring) {
        self.membership.set_keyring(keyring);
    }

    /// Removes the topics of the backends for which `keep` returns false.
    pub(crate) fn retain_backends(&mut self, keep: impl Fn(&str) -> bool) {
        self.membership.retain_topics(|topic| job_names::checked_backend(topic).is_some_and(&keep));
    }

    /// Runs the membership timers that are due.
    pub(crate) fn tick(&mut self, now: MonotonicTime) -> GossipChanges {
        self.update_membership(now, |membership, outputs| membership.tick(now, outputs))
    }

    /// Authenticates and decodes a received datagram, and applies its gossip.
    pub(crate) fn handle_datagram(&mut self, now: MonotonicTime, bytes: &[u8]) -> GossipChanges {
        let changes = self.update_membership(now, |membership, outputs| {
            membership.handle_datagram(now, bytes, outputs);
        });
        self.log_authentication_failures(now);
        changes
    }

    /// Broadcasts a health report. The topic is the name of the health check's job, and the version is the scheduled time of
    /// the check.
    pub(crate) fn broadcast_report(
        &mut self,
        now: MonotonicTime,
        job: &str,
        report: &HealthReport,
    ) -> GossipChanges {
        let version = report.scheduled_at.as_millis();
        self.update_membership(now, |membership, outputs| {
            membership.broadcast(now, job, version, &report.encode(), outputs);
        })
    }

    /// Announces to the cluster that this instance leaves.
    pub(crate) fn leave(&mut self, now: MonotonicTime) -> GossipChanges {
        self.update_membership(now, |membership, outputs| membership.leave(now, outputs))
    }

    /// Updates the membership and applies its outputs.
    fn update_membership(
        &mut self,
        now: MonotonicTime,
        update: impl FnOnce(&mut Membership, &mut Vec<Output>),
    ) -> GossipChanges {
        let mut outputs = Vec::new();
        update(&mut self.membership, &mut outputs);
        self.apply_outputs(now, outputs)
    }

    /// Sends the datagrams among the outputs and collects the changes.
    fn apply_outputs(&mut self, now: MonotonicTime, outputs: Vec<Output>) -> GossipChanges {
        let mut changes = GossipChanges::default();
        let mut members_changed = false;
        for output in outputs {
            match output {
                Output::SendDatagram { to, bytes } => {
                    // SWIM tolerates lost datagrams, so a failed send needs no handling.
                    let _ = self.socket.send_to(&bytes, to);
                }
                Output::MembersChanged => members_changed = true,
                Output::Broadcast { topic, body, .. } => changes.reports.extend(decode_report(&topic, &body)),
                Output::Rejoined { .. } => self.log_rejoin(now),
            }
        }
        if members_changed {
            let alive_names = self.membership.alive_names();
            self.log_members(&alive_names);
            changes.alive_names = Some(alive_names);
        }
        changes
    }

    fn log_authentication_failures(&mut self, now: MonotonicTime) {
        let failures = self.membership.counts().authentication_failures;
        if failures <= self.authentication_failures {
            return;
        }
        self.authentication_failures = failures;
        if let Some(LogPermit { suppressed }) = self.log_limiter.permit(LogKind::AuthenticationFailed, now) {
            tracing::warn!(count = failures, suppressed, "datagram dropped, message authentication failed");
        }
    }

    fn log_rejoin(&mut self, now: MonotonicTime) {
        if let Some(LogPermit { suppressed }) = self.log_limiter.permit(LogKind::Rejoined, now) {
            tracing::warn!(suppressed, "declared dead by other members, rejoined");
        }
    }

    fn log_members(&mut self, alive_names: &[String]) {
        let (count, names) = (alive_names.len(), alive_names.join(" "));
        tracing::info!(count, names, "members alive");
        let duplicate_names = self.membership.duplicate_names();
        if duplicate_names != self.duplicate_names && !duplicate_names.is_empty() {
            let names = duplicate_names.join(" ");
            tracing::warn!(names, "several live members share one name");
        }
        self.duplicate_names = duplicate_names;
    }
}

fn membership_config(gossip: &Gossip, instance_name: &str, started_at: UnixTime) -> membership::Config {
    let local_member = Member {
        address: gossip.advertise,
        name: instance_name.to_owned(),
        generation: started_at.as_millis(),
    };
    membership::Config {
        local_member,
        seed_peers: gossip.peers.clone(),
        probe_period: gossip.period * PROBE_GOSSIP_PERIODS,
        probe_timeout: gossip.period,
        suspicion_timeout: gossip.suspicion_timeout,
        gossip_period: gossip.period,
        join_period: gossip.period * JOIN_GOSSIP_PERIODS,
        max_members: MAX_MEMBERS,
        max_topics: MAX_TOPICS,
        rng_seed: rand::random(),
    }
}

/// Decodes a broadcast. Returns `None` if the topic is not that of a health check or the report is malformed.
fn decode_report(topic: &str, body: &[u8]) -> Option<ReceivedReport> {
    let backend_id = job_names::checked_backend(topic)?.to_owned();
    Some(ReceivedReport { backend_id, report: HealthReport::decode(body)? })
}
