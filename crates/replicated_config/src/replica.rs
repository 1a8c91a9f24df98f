//! A Raft replica without I/O: the library's state machine, the replicated state, and the leases that it grants while it leads.

mod apply;
mod read_rounds;
mod ready;

pub use ready::{Envelope, Ready};

use crate::error::Error;
use crate::ids::{ProposalId, ReplicaId};
use crate::lease::LeaseTable;
use crate::limits::MAX_TEXT_BYTES;
use crate::log::{DurableState, LogIndex, Term};
use crate::message::{LeaseRequest, Message};
use crate::raft_message::RaftMessage;
use crate::raft_storage::LogStorage;
use crate::state::{Command, ConfigState, Proposal, ProposalOutcome};
use crate::version::ConfigVersion;
use raft::{Config, RawNode, ReadOnlyOption};
use read_rounds::ReadRounds;
use std::collections::HashMap;

/// Time from one tick of the Raft library to the next.
const TICK_MS: u64 = 50;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks without a heartbeat after which the first replica stands for election.
const ELECTION_TICKS: usize = 16;
/// Further ticks that each next replica waits, so that two seldom stand at once. Nothing is random, so that a simulated run can
/// be repeated.
const ELECTION_STAGGER_TICKS: usize = 4;
/// Ticks that are made up for after a pause: enough to stand for election, and no more.
const MAX_CATCH_UP_TICKS: u64 = 64;
/// Entries after which the log is compacted.
const MAX_RETAINED_ENTRIES: usize = 256;
/// Proposals, and likewise lease requests, that may wait.
const MAX_PENDING: usize = 4_096;
/// Append messages to one replica that may be unanswered.
const MAX_INFLIGHT_APPENDS: usize = 16;
/// Uncommitted entries hold no more bytes than this many of the largest texts.
const MAX_UNCOMMITTED_TEXTS: u64 = 8;

/// How far a replica's log is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The current term.
    pub term: Term,
    /// The last entry that is known to be committed.
    pub committed: LogIndex,
}

/// The term in which a version was last proposed for activation, and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Activation {
    term: Term,
    version: ConfigVersion,
}

/// One of the replicas that keep the log.
pub struct Replica {
    raw_node: RawNode<LogStorage>,
    id: ReplicaId,
    state: ConfigState,
    lease_duration_ms: u64,
    last_tick_ms: u64,
    /// While this replica leads.
    leases: Option<LeaseTable>,
    /// Lease requests that wait for a majority to confirm that this replica leads.
    reads: ReadRounds,
    /// Who waits for the outcome of a proposal.
    proposers: HashMap<ProposalId, String>,
    last_activation: Option<Activation>,
    ready: Ready,
}

impl Replica {
    /// Creates a replica that goes on from what it has written to disk.
    ///
    /// `id` is its own among `replicas`.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownReplica`]; [`Error::UnreadableSnapshot`], [`Error::MissingCommittedEntries`],
    /// [`Error::EntryOfUnknownTerm`] or [`Error::Raft`] where the durable state cannot be used.
    pub fn new(
        id: ReplicaId,
        replicas: &[ReplicaId],
        durable: DurableState,
        lease_duration_ms: u64,
        now_ms: u64,
    ) -> Result<Self, Error> {
        let position = replicas.iter().position(|replica| *replica == id);
        let position = position.ok_or(Error::UnknownReplica { id, replica_count: replicas.len() })?;
        let state = match &durable.snapshot.state[..] {
            [] => ConfigState::default(),
            encoded => postcard::from_bytes(encoded).map_err(Error::UnreadableSnapshot)?,
        };
        durable.check_complete()?;
        let config = raft_config(id, position, durable.snapshot.index);
        let storage = LogStorage { durable, replicas: replicas.to_vec() };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let mut replica = Self {
            raw_node: RawNode::new(&config, storage, &logger)?,
            id,
            state,
            lease_duration_ms,
            last_tick_ms: now_ms,
            leases: None,
            reads: ReadRounds::default(),
            proposers: HashMap::new(),
            last_activation: None,
            ready: Ready::default(),
        };
        replica.advance(now_ms);
        Ok(replica)
    }

    /// The committed state as far as this replica knows it.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// The leader as far as this replica knows it.
    pub fn leader(&self) -> Option<ReplicaId> {
        ReplicaId::from_raft(self.raw_node.raft.leader_id)
    }

    /// The leader, where it is another replica.
    fn other_leader(&self) -> Option<ReplicaId> {
        self.leader().filter(|leader| *leader != self.id)
    }

    /// The current term and the last committed entry.
    pub fn progress(&self) -> Progress {
        let raft = &self.raw_node.raft;
        Progress { term: Term(raft.term), committed: LogIndex(raft.raft_log.committed) }
    }

    /// How many entries the log holds behind its snapshot.
    pub fn retained_entries(&self) -> usize {
        self.raw_node.store().durable.entries.len()
    }

    /// Clients that may still hold a lease on a version before the proposed one.
    pub fn holders_behind(&self, now_ms: u64) -> Vec<String> {
        let (Some(leases), Some(proposed)) = (&self.leases, self.state.proposed()) else { return Vec::new() };
        leases.holders_behind(now_ms, proposed.number).map(str::to_owned).collect()
    }

    /// When [`Replica::tick`] is due.
    pub fn next_tick_ms(&self) -> u64 {
        self.last_tick_ms + TICK_MS
    }

    /// Advances the clock.
    pub fn tick(&mut self, now_ms: u64) {
        let ticks = now_ms.saturating_sub(self.last_tick_ms) / TICK_MS;
        self.last_tick_ms += ticks * TICK_MS;
        for _ in 0..ticks.min(MAX_CATCH_UP_TICKS) {
            self.raw_node.tick();
        }
        self.advance(now_ms);
    }

    /// Handles a message of another replica.
    pub fn on_raft_message(&mut self, now_ms: u64, message: RaftMessage) {
        let replicas = &self.raw_node.store().replicas;
        let Some(message) = message.into_raft(replicas).filter(|message| message.to == self.id.0) else {
            return;
        };
        // A message that does not fit the state is dropped, as if it had been lost.
        let _ = self.raw_node.step(message);
        self.advance(now_ms);
    }

    /// Handles a client's question for the latest version.
    pub fn on_lease_request(&mut self, now_ms: u64, request: LeaseRequest) {
        if self.leases.is_none() {
            let redirect = Message::RedirectLeaseRequest { request: request.id, leader: self.other_leader() };
            self.ready.send_to_client(request.client, redirect);
            return;
        }
        self.reads.enqueue(request);
        self.advance(now_ms);
    }

    /// Handles a client's proposal. The outcome is sent to `proposer`.
    pub fn propose(&mut self, now_ms: u64, proposer: &str, proposal: Proposal) {
        match self.reply_at_once(&proposal) {
            Some(reply) => self.ready.send_to_client(proposer.to_owned(), reply),
            None => self.append_proposal(proposer, proposal),
        }
        self.advance(now_ms);
    }

    /// The reply to a proposal that is not to be appended to the log.
    fn reply_at_once(&self, proposal: &Proposal) -> Option<Message> {
        let id = proposal.id;
        if self.leases.is_none() {
            return Some(Message::RedirectProposal { proposal: id, leader: self.other_leader() });
        }
        let outcome = if proposal.text.len() > MAX_TEXT_BYTES {
            ProposalOutcome::TooLarge
        } else {
            self.state.outcome(id)?.clone()
        };
        Some(Message::ProposalOutcome { proposal: id, outcome })
    }

    fn append_proposal(&mut self, proposer: &str, proposal: Proposal) {
        let id = proposal.id;
        let is_pending = self.proposers.insert(id, proposer.to_owned()).is_some();
        if is_pending {
            return;
        }
        if self.proposers.len() > MAX_PENDING || !self.append_command(&Command::Propose(proposal)) {
            self.proposers.remove(&id);
        }
    }

    /// Appends a command to the log. Returns false where the library accepts none now.
    fn append_command(&mut self, command: &Command) -> bool {
        let data = postcard::to_stdvec(command).unwrap_or_default();
        self.raw_node.propose(Vec::new(), data).is_ok()
    }

    /// Returns what is to be done since the last call.
    pub fn take_ready(&mut self) -> Ready {
        std::mem::take(&mut self.ready)
    }
}

fn raft_config(id: ReplicaId, position: usize, applied: LogIndex) -> Config {
    let election_ticks = ELECTION_TICKS + ELECTION_STAGGER_TICKS * position;
    Config {
        id: id.0,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: applied.0,
        max_size_per_msg: MAX_TEXT_BYTES as u64,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS,
        check_quorum: true,
        pre_vote: true,
        // The library picks from a range; a range of one value leaves nothing to chance.
        min_election_tick: election_ticks,
        max_election_tick: election_ticks + 1,
        read_only_option: ReadOnlyOption::Safe,
        max_uncommitted_size: MAX_UNCOMMITTED_TEXTS * MAX_TEXT_BYTES as u64,
        ..Config::default()
    }
}

#[cfg(test)]
mod tests;
