//! Gossip: datagrams in and out, membership changes and health reports.

use super::Coordinator;
use crate::job_names;
use crate::log_limiter::LogPermit;
use crate::settings::Gossip;
use health_check::HealthReport;
use membership::{Member, Membership, Output};
use periodic_jobs::ClockReading;

/// The bound on members.
const MAX_MEMBERS: usize = 1_024;
/// The bound on topics: one for each backend.
const MAX_TOPICS: usize = 16_384;
/// Gossip periods in which one member is probed.
const PROBE_GOSSIP_PERIODS: u64 = 4;
/// Gossip periods between two attempts to join.
const JOIN_GOSSIP_PERIODS: u64 = 10;

/// The membership of an instance that starts at this time.
pub(super) fn join(gossip: &Gossip, instance: &str, start_unix_ms: u64) -> Membership {
    let local_member =
        Member { address: gossip.advertise, name: instance.to_owned(), generation: start_unix_ms };
    let config = membership::Config {
        local_member,
        seed_peers: gossip.peers.clone(),
        probe_period_ms: gossip.period_ms * PROBE_GOSSIP_PERIODS,
        probe_timeout_ms: gossip.period_ms,
        suspicion_timeout_ms: gossip.suspicion_timeout_ms,
        gossip_period_ms: gossip.period_ms,
        join_period_ms: gossip.period_ms * JOIN_GOSSIP_PERIODS,
        max_members: MAX_MEMBERS,
        max_topics: MAX_TOPICS,
        rng_seed: rand::random(),
    };
    Membership::new(config, gossip.keyring.clone())
}

impl Coordinator {
    pub(super) fn handle_datagram(&mut self, now: ClockReading, bytes: &[u8]) {
        let Some(membership) = &mut self.membership else { return };
        let mut outputs = Vec::new();
        membership.handle_datagram(now.monotonic_ms, bytes, &mut outputs);
        let failures = membership.counts().authentication_failures;
        if failures > self.authentication_failures {
            self.authentication_failures = failures;
            if let Some(LogPermit { suppressed }) =
                self.log_limiter.permit("authentication", now.monotonic_ms)
            {
                tracing::warn!(
                    count = failures,
                    suppressed,
                    "datagram dropped, message authentication failed"
                );
            }
        }
        self.handle_membership_outputs(now, outputs);
    }

    pub(super) fn handle_membership_outputs(&mut self, now: ClockReading, outputs: Vec<Output>) {
        let mut members_changed = false;
        for output in outputs {
            match output {
                Output::SendDatagram { to, bytes } => {
                    if let Some(socket) = &self.resources.socket {
                        // A datagram that is not sent is like one that is lost on the way.
                        let _ = socket.send_to(&bytes, to);
                    }
                }
                Output::MembersChanged => members_changed = true,
                Output::Broadcast { topic, body, .. } => {
                    if let (Some(id), Some(health), Some(report)) =
                        (job_names::checked_backend(&topic), &mut self.health, HealthReport::decode(&body))
                    {
                        health.apply_report(id, report, now.monotonic_ms);
                    }
                }
                Output::Rejoined { .. } => {
                    if let Some(LogPermit { suppressed }) =
                        self.log_limiter.permit("rejoined", now.monotonic_ms)
                    {
                        tracing::warn!(suppressed, "declared dead by other members, rejoined");
                    }
                }
            }
        }
        if members_changed {
            self.update_members(now);
        }
    }

    fn update_members(&mut self, now: ClockReading) {
        let Some(membership) = &self.membership else { return };
        let alive = membership.alive_names();
        let (count, names) = (alive.len(), alive.join(" "));
        tracing::info!(count, names, "members alive");
        let duplicate_names = membership.duplicate_names();
        if duplicate_names != self.duplicate_names && !duplicate_names.is_empty() {
            let names = duplicate_names.join(" ");
            tracing::warn!(names, "several members have one name");
        }
        self.duplicate_names = duplicate_names;
        self.scheduler.set_members(now, alive);
    }
}
