//! Raft messages in this crate's own encoding. Bytes from the network never reach the parser of the Raft library.

use crate::ids::ReplicaId;
use crate::log::{LogEntry, Snapshot};
use crate::log_position::{LogIndex, Term};
use raft::eraftpb::{self, MessageType};
use serde::{Deserialize, Serialize};

/// The types of Raft messages that replicas accept from each other. The Raft library uses its other message types only within a
/// replica.
const REPLICA_MESSAGE_TYPES: [MessageType; 10] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgTimeoutNow,
];

/// A message of the Raft library, with the library's fields. The order of the fields is part of the encoding.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RaftMessage {
    message_type: u8,
    to: ReplicaId,
    from: ReplicaId,
    term: Term,
    log_term: Term,
    index: LogIndex,
    commit: LogIndex,
    commit_term: Term,
    entries: Vec<LogEntry>,
    snapshot: Option<Snapshot>,
    request_snapshot: LogIndex,
    reject: bool,
    reject_hint: LogIndex,
    context: Vec<u8>,
    priority: i64,
}

impl RaftMessage {
    /// Returns the replica that the message is addressed to.
    pub fn to(&self) -> ReplicaId {
        self.to
    }

    pub(crate) fn from_raft(message: &eraftpb::Message) -> Self {
        let snapshot = message.get_snapshot();
        let has_snapshot = snapshot.get_metadata().index > 0;
        Self {
            message_type: message.get_msg_type() as u8,
            to: ReplicaId(message.to),
            from: ReplicaId(message.from),
            term: Term(message.term),
            log_term: Term(message.log_term),
            index: LogIndex(message.index),
            commit: LogIndex(message.commit),
            commit_term: Term(message.commit_term),
            entries: message.entries.iter().map(LogEntry::from_raft).collect(),
            snapshot: has_snapshot.then(|| Snapshot::from_raft(snapshot)),
            request_snapshot: LogIndex(message.request_snapshot),
            reject: message.reject,
            reject_hint: LogIndex(message.reject_hint),
            context: message.context.to_vec(),
            priority: message.priority,
        }
    }

    /// Converts to the library's message. Returns `None` if the type is not exchanged between replicas, the sender is not one of
    /// `replicas`, or the entries have a gap.
    pub(crate) fn into_raft(self, replicas: &[ReplicaId]) -> Option<eraftpb::Message> {
        let has_type = |known: &MessageType| *known as u8 == self.message_type;
        let message_type = REPLICA_MESSAGE_TYPES.into_iter().find(has_type)?;
        if !replicas.contains(&self.from) || !self.entries_are_consecutive() {
            return None;
        }
        let mut message = eraftpb::Message {
            to: self.to.0,
            from: self.from.0,
            term: self.term.0,
            log_term: self.log_term.0,
            index: self.index.0,
            commit: self.commit.0,
            commit_term: self.commit_term.0,
            entries: self.entries.iter().map(LogEntry::to_raft).collect::<Vec<_>>().into(),
            request_snapshot: self.request_snapshot.0,
            reject: self.reject,
            reject_hint: self.reject_hint.0,
            context: self.context.into(),
            priority: self.priority,
            ..eraftpb::Message::default()
        };
        message.set_msg_type(message_type);
        let snapshot = self.snapshot.map(|snapshot| snapshot.to_raft(replicas));
        message.set_snapshot(snapshot.unwrap_or_default());
        Some(message)
    }

    /// Returns whether the message's entries follow the log index in `index` without a gap. The Raft library would panic at a
    /// gap.
    fn entries_are_consecutive(&self) -> bool {
        self.entries.is_empty()
            || self
                .entries
                .iter()
                .zip(self.index.0 + 1..)
                .all(|(entry, index)| entry.index == LogIndex(index))
    }
}
