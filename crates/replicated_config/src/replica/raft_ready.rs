//! Processes the output of the Raft library: records to persist, messages to send, committed commands to apply, and confirmed
//! reads to answer.

use super::Replica;
use crate::encoding::encode;
use crate::log::{HardState, LogEntry, LogRecord, Snapshot};
use crate::log_position::LogIndex;
use crate::message::Message;
use crate::raft_message::RaftMessage;
use crate::state::Command;
use raft::eraftpb;
use timestamps::MonotonicTime;

/// Number of entries after the snapshot at which the log is compacted.
const COMPACTION_ENTRIES: usize = 256;

impl Replica {
    /// Starts a read round if possible. Then processes the Raft library's output, and activates the proposed version if
    /// possible, until there is no further output. Compacts the log if it has at least [`COMPACTION_ENTRIES`] entries.
    pub(super) fn process_raft_output(&mut self, now: MonotonicTime) {
        self.start_read_round();
        loop {
            while self.raw_node.has_ready() {
                self.process_raft_ready(now);
            }
            if !self.activate_proposed(now) {
                break;
            }
        }
        self.compact_log();
    }

    /// Processes one `Ready` of the library in the order that the library requires.
    fn process_raft_ready(&mut self, now: MonotonicTime) {
        let mut ready = self.raw_node.ready();
        if let Some(soft_state) = ready.ss() {
            self.on_role_change(now, soft_state.raft_state);
        }
        self.send_to_replicas(ready.take_messages());
        self.queue_records(&ready);
        let confirmed_reads = ready.take_read_states();
        let committed = ready.take_committed_entries();
        self.send_to_replicas(ready.take_persisted_messages());
        self.apply_committed(now, committed);
        let light_ready = self.raw_node.advance(ready);
        self.process_light_ready(now, light_ready);
        self.raw_node.advance_apply();
        // All entries that were committed when a round started are applied by now, so the answers reflect every version that was
        // committed before the requests arrived.
        for read in confirmed_reads {
            self.finish_read_round(now, read.request_ctx);
        }
    }

    /// Processes the output that the library yields after its records were persisted.
    fn process_light_ready(&mut self, now: MonotonicTime, mut light_ready: raft::LightReady) {
        if let Some(commit) = light_ready.commit_index() {
            let hard_state = self.raw_node.store().durable().hard_state;
            self.queue_record(LogRecord::HardState(HardState { commit: LogIndex(commit), ..hard_state }));
        }
        self.send_to_replicas(light_ready.take_messages());
        self.apply_committed(now, light_ready.take_committed_entries());
    }

    /// Applies and queues the records for the library's snapshot, entries and hard state, in this order.
    fn queue_records(&mut self, ready: &raft::Ready) {
        if !ready.snapshot().is_empty() {
            self.install_snapshot(Snapshot::from_raft(ready.snapshot()));
        }
        let entries: Vec<LogEntry> = ready.entries().iter().map(LogEntry::from_raft).collect();
        if !entries.is_empty() {
            self.queue_record(LogRecord::Entries(entries));
        }
        if let Some(hard_state) = ready.hs() {
            self.queue_record(LogRecord::HardState(HardState::from_raft(hard_state)));
        }
    }

    /// Replaces the replicated state by that of a leader's snapshot, and queues the snapshot's record.
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        if let Ok(state) = postcard::from_bytes(&snapshot.state) {
            self.state = state;
            self.ready.state_changed = true;
        }
        self.queue_record(LogRecord::Snapshot(snapshot));
    }

    /// Applies a record to the storage, and queues it for the caller to write to disk.
    fn queue_record(&mut self, record: LogRecord) {
        let applied = self.raw_node.mut_store().apply(record.clone());
        debug_assert!(applied.is_ok(), "the Raft library's records leave a gap in the log: {applied:?}");
        self.ready.records.push(record);
    }

    fn send_to_replicas(&mut self, messages: Vec<eraftpb::Message>) {
        for message in &messages {
            let message = RaftMessage::from_raft(message);
            self.ready.send_to_replica(message.to(), Message::Raft(Box::new(message)));
        }
    }

    /// Applies committed entries, and notifies lease holders if the latest version or its phase has changed.
    fn apply_committed(&mut self, now: MonotonicTime, committed: Vec<eraftpb::Entry>) {
        let latest_before = self.state.latest();
        for entry in committed {
            // The first entry of each leader is empty. All replicas skip an entry that cannot be decoded.
            let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else { continue };
            self.apply_command(command);
        }
        if self.state.latest() != latest_before {
            self.notify_lease_holders(now);
        }
    }

    /// Applies a command. If it is a proposal whose proposer waits for this replica's answer, sends the outcome.
    fn apply_command(&mut self, command: Command) {
        let proposal = match &command {
            Command::Propose(proposal) => Some(proposal.id),
            Command::Activate(_) => None,
        };
        let outcome = self.state.apply(command);
        self.ready.state_changed = true;
        if let (Some(proposal), Some(outcome)) = (proposal, outcome)
            && let Some(proposer) = self.pending_proposals.remove(proposal)
        {
            self.ready.send_to_client(proposer, Message::ProposalOutcome { proposal, outcome });
        }
    }

    /// Replaces the applied entries by a snapshot if the log holds at least [`COMPACTION_ENTRIES`] entries.
    fn compact_log(&mut self) {
        let durable = self.raw_node.store().durable();
        let index = LogIndex(self.raw_node.raft.raft_log.applied);
        let is_long = durable.entries.len() >= COMPACTION_ENTRIES;
        if !is_long || index <= durable.snapshot.index {
            return;
        }
        let term = durable.term_at(index).unwrap_or_default();
        self.queue_record(LogRecord::Snapshot(Snapshot { index, term, state: encode(&self.state) }));
    }
}
