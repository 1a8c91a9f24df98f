//! Errors of starting a replica, replaying its log and decoding a message.

use crate::ids::ReplicaId;
use crate::limits::MAX_MESSAGE_BYTES;
use crate::log_position::{LogIndex, Term};

/// A failure to start a replica, replay its log or decode a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node was started with an id outside the configured list of replicas.
    #[error("replica {id} is not one of the {replica_count} configured replicas")]
    UnknownReplica {
        /// The id with which the node was started.
        id: ReplicaId,
        /// Number of configured replicas.
        replica_count: usize,
    },
    /// The state in the log's snapshot is damaged or has another format.
    #[error("cannot decode the state in the log's snapshot: {0}")]
    UnreadableSnapshot(#[source] postcard::Error),
    /// The end of the log is missing: the hard state has a commit index beyond the last entry.
    #[error("the log ends at entry {last_index}, but its hard state commits entries up to {commit}")]
    MissingCommittedEntries {
        /// Index of the last committed entry according to the hard state.
        commit: LogIndex,
        /// Index of the last entry in the log.
        last_index: LogIndex,
    },
    /// The hard state is older than the entries, so a vote of the later term may be missing in it.
    #[error("log entry {index} has term {entry_term}, later than term {term} of the hard state")]
    EntryFromLaterTerm {
        /// Index of the entry with the later term.
        index: LogIndex,
        /// Term of the entry at `index`.
        entry_term: Term,
        /// The latest term that the hard state knows of.
        term: Term,
    },
    /// A record holds an entry whose index is not one more than the index of the entry before it.
    #[error("the log has a gap: entry {index} comes right after entry {previous}")]
    LogGap {
        /// Index of the entry after the gap.
        index: LogIndex,
        /// Index of the entry before the gap.
        previous: LogIndex,
    },
    /// The Raft library's own validation failed when the replica was created.
    #[error("the Raft library rejected the configuration or the log: {0}")]
    Raft(#[from] raft::Error),
    /// The message was rejected for its size, without decoding.
    #[error("a message of {bytes} bytes is larger than the limit of {MAX_MESSAGE_BYTES}")]
    MessageTooLarge {
        /// Size of the encoded message.
        bytes: usize,
    },
    /// The decoder rejected the bytes, which may be truncated.
    #[error("a message cannot be decoded: {0}")]
    MalformedMessage(#[source] postcard::Error),
}

#[cfg(test)]
mod tests;
