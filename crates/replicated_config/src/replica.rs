//! A Raft replica without I/O: the Raft library's state machine, the replicated state, and the leases that the replica grants
//! while it is the leader.

mod leadership;
mod pending_proposals;
mod raft_config;
mod raft_ready;
mod read_rounds;
mod ready;
mod tick_clock;

pub use ready::{Envelope, Ready};

use crate::encoding::encode;
use crate::error::Error;
use crate::ids::ReplicaId;
use crate::lease::LeaseTable;
use crate::limits::MAX_TEXT_BYTES;
use crate::log::{DurableState, Snapshot};
use crate::log_position::{LogIndex, Term};
use crate::message::{LeaseRequest, Message};
use crate::raft_message::RaftMessage;
use crate::raft_storage::LogStorage;
use crate::state::{Command, ConfigState, Proposal, ProposalOutcome};
use leadership::Activation;
use pending_proposals::PendingProposals;
use raft::RawNode;
use raft_config::raft_config;
use read_rounds::ReadRounds;
use std::time::Duration;
use tick_clock::TickClock;
use timestamps::MonotonicTime;

/// Maximum number of pending proposals, and separately the maximum number of waiting lease requests.
const MAX_PENDING_REQUESTS: usize = 4_096;

/// The term of a replica and the commit index of its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The latest term that the replica knows of.
    pub term: Term,
    /// Index of the last entry known to be committed.
    pub committed: LogIndex,
}

/// A Raft replica of the configuration.
///
/// Each method that handles an event adds its output to a [`Ready`], which the caller takes with [`Replica::take_ready`].
pub struct Replica {
    raw_node: RawNode<LogStorage>,
    id: ReplicaId,
    state: ConfigState,
    clock: TickClock,
    lease_duration: Duration,
    /// The granted leases; `None` unless this replica is the leader.
    leases: Option<LeaseTable>,
    /// Lease requests that wait for a quorum to confirm that this replica leads.
    read_rounds: ReadRounds,
    pending_proposals: PendingProposals,
    /// The last activation command that this replica has appended to the log; `None` if the replica has appended no such
    /// command since its start.
    last_activation: Option<Activation>,
    ready: Ready,
}

impl Replica {
    /// Creates a replica that resumes from its durable state.
    ///
    /// `id` is the replica's own id among `replicas`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownReplica`] if `replicas` lacks `id`, and [`Error::UnreadableSnapshot`],
    /// [`Error::MissingCommittedEntries`], [`Error::EntryFromLaterTerm`] or [`Error::Raft`] if the durable state is damaged.
    pub fn new(
        id: ReplicaId,
        replicas: &[ReplicaId],
        durable: DurableState,
        lease_duration: Duration,
        now: MonotonicTime,
    ) -> Result<Self, Error> {
        let index_in_list = position_of(id, replicas)?;
        let state = decode_state(&durable.snapshot)?;
        durable.check_complete()?;
        let config = raft_config(id, index_in_list, durable.snapshot.index);
        let storage = LogStorage::new(durable, replicas.to_vec());
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let mut replica = Self {
            raw_node: RawNode::new(&config, storage, &logger)?,
            id,
            state,
            clock: TickClock::new(now),
            lease_duration,
            leases: None,
            read_rounds: ReadRounds::default(),
            pending_proposals: PendingProposals::default(),
            last_activation: None,
            ready: Ready::default(),
        };
        replica.process_raft_output(now);
        Ok(replica)
    }

    /// Returns the state after all committed entries that this replica has applied.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Returns the leader that this replica knows, which may be the replica itself; `None` while it knows no leader.
    pub fn leader(&self) -> Option<ReplicaId> {
        ReplicaId::from_raft(self.raw_node.raft.leader_id)
    }

    /// Returns whether this replica believes that it is the leader.
    fn is_leader(&self) -> bool {
        self.leases.is_some()
    }

    /// Returns the leader to redirect a client to, or `None` if no leader is known or this replica is the leader.
    fn other_leader(&self) -> Option<ReplicaId> {
        self.leader().filter(|leader| *leader != self.id)
    }

    /// Returns the term and the index of the last committed entry, for status displays.
    pub fn progress(&self) -> Progress {
        let raft = &self.raw_node.raft;
        Progress { term: Term(raft.term), committed: LogIndex(raft.raft_log.committed) }
    }

    /// Returns the number of entries that the log holds after its snapshot.
    pub fn retained_entries(&self) -> usize {
        self.raw_node.store().durable().entries.len()
    }

    /// Returns the names of the clients that do not know the proposed version and whose leases may still be valid. The list is
    /// empty unless this replica is the leader and a version is proposed.
    pub fn holders_without_proposed_version(&self, now: MonotonicTime) -> Vec<String> {
        let (Some(leases), Some(proposed)) = (&self.leases, self.state.proposed()) else { return Vec::new() };
        leases.holders_without_version(now, proposed.number).map(str::to_owned).collect()
    }

    /// Returns the time at which the caller must call [`Replica::tick`] next.
    pub fn next_tick_at(&self) -> MonotonicTime {
        self.clock.next_tick_at()
    }

    /// Advances the clock, which may start an election, a heartbeat or the activation of a version.
    pub fn tick(&mut self, now: MonotonicTime) {
        for _ in 0..self.clock.advance(now) {
            self.raw_node.tick();
        }
        self.process_raft_output(now);
    }

    /// Handles a message from another replica. Messages that are invalid or for another replica are dropped.
    pub fn on_raft_message(&mut self, now: MonotonicTime, message: RaftMessage) {
        let replicas = self.raw_node.store().replicas();
        let Some(message) = message.into_raft(replicas).filter(|message| message.to == self.id.0) else {
            return;
        };
        // Raft tolerates lost messages, so a message that the library rejects is dropped.
        let _ = self.raw_node.step(message);
        self.process_raft_output(now);
    }

    /// Handles a client's lease request: redirects it, or answers it once a quorum has confirmed that this replica leads.
    pub fn on_lease_request(&mut self, now: MonotonicTime, request: LeaseRequest) {
        if !self.is_leader() {
            let redirect = Message::RedirectLeaseRequest { request: request.id, leader: self.other_leader() };
            self.ready.send_to_client(request.client, redirect);
            return;
        }
        self.read_rounds.enqueue(request);
        self.process_raft_output(now);
    }

    /// Handles a client's proposal. The outcome or a redirect is sent to the client with the name `proposer`.
    pub fn propose(&mut self, now: MonotonicTime, proposer: &str, proposal: Proposal) {
        match self.immediate_reply(&proposal) {
            Some(reply) => self.ready.send_to_client(proposer.to_owned(), reply),
            None => self.append_proposal(proposer, proposal),
        }
        self.process_raft_output(now);
    }

    /// Returns the reply to a proposal that needs no log entry: a redirect, a rejection, or the recorded outcome of a retry.
    fn immediate_reply(&self, proposal: &Proposal) -> Option<Message> {
        let id = proposal.id;
        if !self.is_leader() {
            return Some(Message::RedirectProposal { proposal: id, leader: self.other_leader() });
        }
        let outcome = if proposal.text.len() > MAX_TEXT_BYTES {
            ProposalOutcome::TooLarge
        } else {
            self.state.outcome(id)?.clone()
        };
        Some(Message::ProposalOutcome { proposal: id, outcome })
    }

    /// Appends a proposal to the log, unless it is pending already. Drops the proposal if [`MAX_PENDING_REQUESTS`] other
    /// proposals are pending; its proposer retries.
    fn append_proposal(&mut self, proposer: &str, proposal: Proposal) {
        let id = proposal.id;
        let was_pending = self.pending_proposals.insert(id, proposer);
        if was_pending {
            return;
        }
        if self.pending_proposals.exceeds_limit() || !self.append_command(&Command::Propose(proposal)) {
            self.pending_proposals.remove(id);
        }
    }

    /// Appends a command to the log. Returns false if the Raft library rejects the command, for example because this replica is
    /// not the leader.
    fn append_command(&mut self, command: &Command) -> bool {
        self.raw_node.propose(Vec::new(), encode(command)).is_ok()
    }

    /// Takes the output that has accumulated since the last call of `take_ready`.
    pub fn take_ready(&mut self) -> Ready {
        std::mem::take(&mut self.ready)
    }
}

/// Returns the index, counted from 0, of a replica in the configured list.
fn position_of(id: ReplicaId, replicas: &[ReplicaId]) -> Result<usize, Error> {
    let position = replicas.iter().position(|replica| *replica == id);
    position.ok_or(Error::UnknownReplica { id, replica_count: replicas.len() })
}

/// Returns the state that a snapshot holds, or the initial state if there is no snapshot yet.
fn decode_state(snapshot: &Snapshot) -> Result<ConfigState, Error> {
    if snapshot.state.is_empty() {
        return Ok(ConfigState::default());
    }
    postcard::from_bytes(&snapshot.state).map_err(Error::UnreadableSnapshot)
}

#[cfg(test)]
mod tests;
