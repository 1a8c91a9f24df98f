//! Errors when a replica starts, its log is replayed, or a message is decoded.

use crate::ids::ReplicaId;
use crate::limits::MAX_MESSAGE_BYTES;
use crate::log_position::{LogIndex, Term};

/// An error of the replicated configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node's id is not in the configured list of replicas.
    #[error("replica {id} is none of the {replica_count} configured replicas")]
    UnknownReplica {
        /// The node's id.
        id: ReplicaId,
        /// Number of configured replicas.
        replica_count: usize,
    },
    /// The state in the log's snapshot is damaged or has another format.
    #[error("the state in the log's snapshot cannot be read: {0}")]
    UnreadableSnapshot(#[source] postcard::Error),
    /// The log lacks entries that were committed according to its hard state.
    #[error("the log ends at entry {last_index}, but entries up to {commit} were committed")]
    MissingCommittedEntries {
        /// Last committed entry according to the hard state.
        commit: LogIndex,
        /// Last entry in the log.
        last_index: LogIndex,
    },
    /// The log holds an entry of a later term than its hard state.
    #[error("entry {index} of the log has term {entry_term}, but the recorded term is {term}")]
    EntryOfUnknownTerm {
        /// The entry's index.
        index: LogIndex,
        /// The entry's term.
        entry_term: Term,
        /// The term of the hard state.
        term: Term,
    },
    /// A record holds an entry that does not follow the entry before it.
    #[error("entry {index} of the log does not follow the one before it, entry {previous}")]
    LogGap {
        /// The entry's index.
        index: LogIndex,
        /// Index of the entry before it.
        previous: LogIndex,
    },
    /// The Raft library rejected the replica's configuration or log.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// An encoded message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("a message of {bytes} bytes is larger than the limit of {MAX_MESSAGE_BYTES}")]
    MessageTooLarge {
        /// The message's size.
        bytes: usize,
    },
    /// The bytes do not encode a message.
    #[error("a message cannot be decoded: {0}")]
    MalformedMessage(#[source] postcard::Error),
}

#[cfg(test)]
mod tests;
