//! What can go wrong when a replica starts, its log is replayed, or a message is decoded.

use crate::ids::ReplicaId;
use crate::limits::MAX_MESSAGE_BYTES;
use crate::log::{LogIndex, Term};

/// An error of the replicated configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node's id is not in the configured list of replicas.
    #[error("replica {id} is none of the {replica_count} configured replicas")]
    UnknownReplica {
        /// The id.
        id: ReplicaId,
        /// How many replicas are configured.
        replica_count: usize,
    },
    /// The state in the log's snapshot has another form, or is damaged.
    #[error("the state in the log's snapshot cannot be read: {0}")]
    UnreadableSnapshot(#[source] postcard::Error),
    /// The log lacks entries that its hard state says were committed.
    #[error("the log ends at entry {last_index}, but entries up to {commit} were committed")]
    MissingCommittedEntries {
        /// Last committed entry by the hard state.
        commit: LogIndex,
        /// Last entry that the log holds.
        last_index: LogIndex,
    },
    /// The log holds an entry of a term that its hard state does not know.
    #[error("entry {index} of the log has term {entry_term}, but the recorded term is {term}")]
    EntryOfUnknownTerm {
        /// The entry.
        index: LogIndex,
        /// The entry's term.
        entry_term: Term,
        /// The term of the hard state.
        term: Term,
    },
    /// A record holds an entry that does not follow the entry before it.
    #[error("entry {index} of the log does not follow the one before it, entry {previous}")]
    LogGap {
        /// The entry.
        index: LogIndex,
        /// Last entry before it.
        previous: LogIndex,
    },
    /// The Raft library rejected the replica's configuration or log.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// An encoded message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("a message of {bytes} bytes is larger than the limit of {MAX_MESSAGE_BYTES}")]
    MessageTooLarge {
        /// Its size.
        bytes: usize,
    },
    /// Bytes that are no message.
    #[error("a message cannot be decoded: {0}")]
    MalformedMessage(#[source] postcard::Error),
}

#[cfg(test)]
mod tests;
