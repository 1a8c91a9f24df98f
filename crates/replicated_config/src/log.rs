//! A replica's durable state and the records that update it on disk.

use crate::error::Error;
use crate::ids::ReplicaId;
use crate::log_position::{LogIndex, Term};
use serde::{Deserialize, Serialize};

/// An entry of the Raft log, on disk and in messages.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct LogEntry {
    /// The entry's position in the log.
    pub index: LogIndex,
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The encoded [`Command`](crate::Command). Empty in the first entry of each leader.
    pub data: Vec<u8>,
}

/// The state after all entries up to an index. It replaces these entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// The last entry that the snapshot includes.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The encoded [`ConfigState`](crate::ConfigState). Empty before the first snapshot.
    pub state: Vec<u8>,
}

/// Raft's hard state.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct HardState {
    /// The latest term that the replica knows of.
    pub term: Term,
    /// The replica that it voted for in this term. Stored as a number, 0 for none.
    #[serde(with = "crate::ids::zero_for_none")]
    pub vote: Option<ReplicaId>,
    /// The last entry known to be committed.
    pub commit: LogIndex,
}

/// A record to write to disk before any message that depends on it is sent.
///
/// The order of the variants is part of the format on disk.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum LogRecord {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends entries. Discards the earlier entries from the first appended index on.
    Entries(Vec<LogEntry>),
    /// Replaces all entries up to the snapshot's index. If the log has another entry, or none, at this index, all entries are
    /// discarded.
    Snapshot(Snapshot),
}

/// Everything that a replica keeps on disk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct DurableState {
    /// The last hard state.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl DurableState {
    /// Applies the next record. The state of a log on disk results from applying its records in order.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LogGap`] if an entry does not follow the one before it: the log is incomplete.
    pub fn apply(&mut self, record: LogRecord) -> Result<(), Error> {
        match record {
            LogRecord::HardState(hard_state) => self.hard_state = hard_state,
            LogRecord::Snapshot(snapshot) => self.install(snapshot),
            LogRecord::Entries(entries) => self.append(entries)?,
        }
        Ok(())
    }

    fn install(&mut self, snapshot: Snapshot) {
        let is_last_included =
            |entry: &LogEntry| entry.index == snapshot.index && entry.term == snapshot.term;
        let matches_log = self.entries.iter().any(is_last_included);
        self.entries.retain(|entry| matches_log && entry.index > snapshot.index);
        self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
        self.snapshot = snapshot;
    }

    fn append(&mut self, entries: Vec<LogEntry>) -> Result<(), Error> {
        let Some(first) = entries.first().map(|entry| entry.index) else { return Ok(()) };
        self.entries.retain(|entry| entry.index < first);
        for entry in entries {
            let previous = self.last_index();
            if entry.index != previous.next() {
                return Err(Error::LogGap { index: entry.index, previous });
            }
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the entry at this index, if it is the last one in the snapshot or follows it.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let position = index.distance_from(self.snapshot.index.next())?;
        self.entries.get(position).map(|entry| entry.term)
    }

    /// Checks that the log is consistent with its hard state.
    pub(crate) fn check_complete(&self) -> Result<(), Error> {
        let HardState { term, commit, .. } = self.hard_state;
        let last_index = self.last_index();
        if commit > last_index {
            return Err(Error::MissingCommittedEntries { commit, last_index });
        }
        match self.entries.iter().find(|entry| entry.term > term) {
            Some(entry) => {
                Err(Error::EntryOfUnknownTerm { index: entry.index, entry_term: entry.term, term })
            }
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
