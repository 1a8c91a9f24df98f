//! Processes what the Raft library has ready: persists records, applies committed commands, answers confirmed reads.

use super::{Activation, MAX_RETAINED_ENTRIES, Replica};
use crate::ids::ReplicaId;
use crate::lease::LeaseTable;
use crate::log::{HardState, LogEntry, LogIndex, LogRecord, Snapshot, Term};
use crate::message::{LeaseRequest, LeaseResponse, Message, VersionTexts};
use crate::raft_message::RaftMessage;
use crate::state::Command;
use crate::version::{ConfigVersion, RolloutPhase, Version};
use raft::{StateRole, eraftpb};

impl Replica {
    /// Processes all that the last event has made possible.
    pub(super) fn advance(&mut self, now_ms: u64) {
        self.start_read_round();
        loop {
            while self.raw_node.has_ready() {
                self.process_raft_ready(now_ms);
            }
            if !self.activate_proposed(now_ms) {
                break;
            }
        }
        self.compact_log();
    }

    /// Appends the command that puts the proposed version in force, once per term, as soon as no lease forbids it. Returns
    /// whether it was appended.
    fn activate_proposed(&mut self, now_ms: u64) -> bool {
        let (Some(leases), Some(proposed)) = (&self.leases, self.state.proposed()) else { return false };
        let activation = Activation { term: Term(self.raw_node.raft.term), version: proposed.number };
        if self.last_activation == Some(activation) || !leases.may_activate(now_ms, activation.version) {
            return false;
        }
        if !self.append_command(&Command::Activate(activation.version)) {
            return false;
        }
        self.last_activation = Some(activation);
        true
    }

    /// Starts a round of confirmation for the waiting lease requests.
    fn start_read_round(&mut self) {
        // Until it has committed an entry of its term, a leader does not know what is committed.
        let may_read = self.leases.is_some() && self.raw_node.raft.commit_to_current_term();
        if may_read && self.reads.can_start() {
            let context = self.reads.start();
            self.raw_node.read_index(context);
        }
    }

    fn process_raft_ready(&mut self, now_ms: u64) {
        let mut ready = self.raw_node.ready();
        if let Some(soft_state) = ready.ss() {
            self.on_role(now_ms, soft_state.raft_state);
        }
        self.send_to_replicas(ready.take_messages());
        self.persist(&ready);
        let confirmed_reads = ready.take_read_states();
        let committed = ready.take_committed_entries();
        self.send_to_replicas(ready.take_persisted_messages());
        self.apply_committed(now_ms, committed);
        let mut light_ready = self.raw_node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            let hard_state =
                HardState { commit: LogIndex(commit), ..self.raw_node.store().durable.hard_state };
            self.write(LogRecord::HardState(hard_state));
        }
        self.send_to_replicas(light_ready.take_messages());
        self.apply_committed(now_ms, light_ready.take_committed_entries());
        self.raw_node.advance_apply();
        // All that was committed when a round started is applied by now, so that the state is as new as each request.
        for read in confirmed_reads {
            for request in self.reads.finish(read.request_ctx) {
                self.respond(now_ms, request);
            }
            self.start_read_round();
        }
    }

    /// Writes the library's snapshot, entries and hard state, in this order.
    fn persist(&mut self, ready: &raft::Ready) {
        if !ready.snapshot().is_empty() {
            let snapshot = Snapshot::from_raft(ready.snapshot());
            if let Ok(state) = postcard::from_bytes(&snapshot.state) {
                self.state = state;
                self.ready.state_changed = true;
            }
            self.write(LogRecord::Snapshot(snapshot));
        }
        let entries: Vec<LogEntry> = ready.entries().iter().map(LogEntry::from_raft).collect();
        if !entries.is_empty() {
            self.write(LogRecord::Entries(entries));
        }
        if let Some(hard) = ready.hs() {
            let hard_state = HardState {
                term: Term(hard.term),
                vote: ReplicaId::from_raft(hard.vote),
                commit: LogIndex(hard.commit),
            };
            self.write(LogRecord::HardState(hard_state));
        }
    }

    fn write(&mut self, record: LogRecord) {
        let applied = self.raw_node.mut_store().durable.apply(record.clone());
        debug_assert!(applied.is_ok(), "the library wrote a gap: {applied:?}");
        self.ready.records.push(record);
    }

    fn send_to_replicas(&mut self, messages: Vec<eraftpb::Message>) {
        for message in &messages {
            let message = RaftMessage::from_raft(message);
            self.ready.send_to_replica(message.to(), Message::Raft(Box::new(message)));
        }
    }

    fn on_role(&mut self, now_ms: u64, role: StateRole) {
        if role != StateRole::Leader {
            self.leases = None;
            self.reads.clear();
            // Proposers retry, and find the new leader.
            self.proposers.clear();
        } else if self.leases.is_none() {
            self.leases = Some(LeaseTable::new(now_ms, self.lease_duration_ms));
        }
    }

    /// Answers a confirmed lease request, with the texts that its client lacks.
    fn respond(&mut self, now_ms: u64, request: LeaseRequest) {
        let Some(leases) = &mut self.leases else { return };
        let LeaseRequest { client, id, wants_lease, known_version, cached } = request;
        if wants_lease && !leases.grant(now_ms, &client, id, known_version) {
            return;
        }
        let phase = self.state.proposed().map_or(RolloutPhase::InForce, |_| RolloutPhase::Proposed);
        let response = LeaseResponse { request: id, version: self.state.latest_number(), phase };
        let missing = |version: Option<&Version>, cached_number: ConfigVersion| {
            version.filter(|version| version.number != cached_number).cloned()
        };
        let texts = VersionTexts {
            in_force: missing(self.state.in_force(), cached.in_force),
            proposed: missing(self.state.proposed(), cached.proposed),
        };
        self.ready.send_to_client(client, Message::LeaseResponse(response, Box::new(texts)));
    }

    fn apply_committed(&mut self, now_ms: u64, committed: Vec<eraftpb::Entry>) {
        let rollout_before = self.rollout();
        for entry in committed {
            // The first entry of each leader is empty. An entry that cannot be read is skipped by each replica alike.
            let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else { continue };
            self.apply_command(command);
        }
        if self.rollout() != rollout_before {
            self.notify_lease_holders(now_ms);
        }
    }

    /// The latest version, and whether it is proposed.
    fn rollout(&self) -> (ConfigVersion, bool) {
        (self.state.latest_number(), self.state.proposed().is_some())
    }

    fn apply_command(&mut self, command: Command) {
        let proposal = match &command {
            Command::Propose(proposal) => Some(proposal.id),
            Command::Activate(_) => None,
        };
        let outcome = self.state.apply(command);
        self.ready.state_changed = true;
        if let (Some(proposal), Some(outcome)) = (proposal, outcome)
            && let Some(proposer) = self.proposers.remove(&proposal)
        {
            self.ready.send_to_client(proposer, Message::ProposalOutcome { proposal, outcome });
        }
    }

    /// Lease holders ask at once instead of with their next regular request.
    fn notify_lease_holders(&mut self, now_ms: u64) {
        let Some(leases) = &self.leases else { return };
        for holder in leases.holders(now_ms) {
            let message = Message::VersionChanged(self.state.latest_number());
            self.ready.send_to_client(holder.to_owned(), message);
        }
    }

    /// Replaces applied entries by a snapshot once the log is long.
    fn compact_log(&mut self) {
        let durable = &self.raw_node.store().durable;
        let applied = LogIndex(self.raw_node.raft.raft_log.applied);
        if durable.entries.len() < MAX_RETAINED_ENTRIES || applied <= durable.snapshot.index {
            return;
        }
        let term = durable
            .entries
            .iter()
            .find(|entry| entry.index == applied)
            .map_or(Term::default(), |entry| entry.term);
        let state = postcard::to_stdvec(&self.state).unwrap_or_default();
        self.write(LogRecord::Snapshot(Snapshot { index: applied, term, state }));
    }
}
