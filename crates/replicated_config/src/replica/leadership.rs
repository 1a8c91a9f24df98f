//! The part of a replica that runs only on the leader: confirms reads, answers lease requests, and puts the proposed version in
//! force.

use super::Replica;
use crate::lease::LeaseTable;
use crate::log_position::Term;
use crate::message::{LeaseRequest, LeaseResponse, Message, VersionTexts};
use crate::state::Command;
use crate::version::{ConfigVersion, Version};
use raft::StateRole;
use timestamps::MonotonicTime;

/// An activation command that was appended to the log: the version, and the term in which it was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Activation {
    term: Term,
    version: ConfigVersion,
}

impl Replica {
    /// Creates the lease table when this replica becomes the leader. Drops the leader's state when this replica is no longer
    /// the leader.
    pub(super) fn on_role_change(&mut self, now: MonotonicTime, role: StateRole) {
        if role != StateRole::Leader {
            self.step_down();
        } else if !self.is_leader() {
            self.leases = Some(LeaseTable::new(now, self.lease_duration));
        }
    }

    /// Drops the leader's state. Clients and proposers retry, and are redirected to the new leader.
    fn step_down(&mut self) {
        self.leases = None;
        self.read_rounds.clear();
        self.pending_proposals.clear();
    }

    /// Appends the command that puts the proposed version in force, if every client with a valid lease knows this version.
    /// Appends the command at most once per term for each version. Returns whether the command was appended.
    pub(super) fn activate_proposed(&mut self, now: MonotonicTime) -> bool {
        let (Some(leases), Some(proposed)) = (&self.leases, self.state.proposed()) else { return false };
        let activation = Activation { term: self.progress().term, version: proposed.number };
        if self.last_activation == Some(activation) || !leases.may_activate(now, activation.version) {
            return false;
        }
        if !self.append_command(&Command::Activate(activation.version)) {
            return false;
        }
        self.last_activation = Some(activation);
        true
    }

    /// Starts a round in which a quorum confirms this leader, if lease requests wait and no round is open.
    pub(super) fn start_read_round(&mut self) {
        // A leader knows which entries are committed only once it has committed an entry of its own term.
        let may_read = self.is_leader() && self.raw_node.raft.commit_to_current_term();
        if may_read && self.read_rounds.can_start() {
            let context = self.read_rounds.start();
            self.raw_node.read_index(context);
        }
    }

    /// Answers the lease requests of a confirmed round, and starts the next round.
    pub(super) fn finish_read_round(&mut self, now: MonotonicTime, context: Vec<u8>) {
        for request in self.read_rounds.finish(context) {
            self.respond(now, request);
        }
        self.start_read_round();
    }

    /// Answers a confirmed lease request, with the texts that its client lacks.
    fn respond(&mut self, now: MonotonicTime, request: LeaseRequest) {
        let Some(leases) = &mut self.leases else { return };
        let LeaseRequest { client, id, wants_lease, known_version, cached } = request;
        if wants_lease && !leases.grant(now, &client, id, known_version) {
            return;
        }
        let latest = self.state.latest();
        let response = LeaseResponse { request: id, version: latest.number, phase: latest.phase };
        let texts = VersionTexts {
            in_force: version_unless_cached(self.state.in_force(), cached.in_force),
            proposed: version_unless_cached(self.state.proposed(), cached.proposed),
        };
        self.ready.send_to_client(client, Message::LeaseResponse(response, Box::new(texts)));
    }

    /// Notifies lease holders that the latest version or its phase has changed, so that they request the version at once
    /// instead of at their next regular request.
    pub(super) fn notify_lease_holders(&mut self, now: MonotonicTime) {
        let Some(leases) = &self.leases else { return };
        for holder in leases.holders(now) {
            let message = Message::VersionChanged(self.state.latest_number());
            self.ready.send_to_client(holder.to_owned(), message);
        }
    }
}

/// Returns a copy of the version to send to a client, or `None` if the client has the text already, because `cached` is the
/// version's number.
fn version_unless_cached(version: Option<&Version>, cached: ConfigVersion) -> Option<Version> {
    version.filter(|version| version.number != cached).cloned()
}
