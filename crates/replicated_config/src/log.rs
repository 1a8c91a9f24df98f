//! A replica's durable state and the records that update it on disk.

use crate::error::Error;
use crate::ids::ReplicaId;
use crate::log_position::{LogIndex, Term};
use serde::{Deserialize, Serialize};

/// An entry of the Raft log, on disk and in messages.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct LogEntry {
    /// The entry's position in the log, counted from 1.
    pub index: LogIndex,
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The encoded [`Command`](crate::Command). Empty in the first entry of each leader.
    pub data: Vec<u8>,
}

/// The replicated state after all entries up to an index. The snapshot replaces these entries in the log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes; 0 before the first snapshot.
    pub index: LogIndex,
    /// Term of the last entry that the snapshot includes.
    pub term: Term,
    /// The encoded [`ConfigState`](crate::ConfigState). Empty before the first snapshot.
    pub state: Vec<u8>,
}

/// Raft's hard state: the values besides the log that a replica must keep across restarts.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct HardState {
    /// The latest term that the replica knows of.
    pub term: Term,
    /// The replica that this replica voted for in `term`. Stored as an id, 0 for `None`.
    #[serde(with = "crate::ids::zero_for_none")]
    pub vote: Option<ReplicaId>,
    /// Index of the last entry known to be committed.
    pub commit: LogIndex,
}

/// A record to write to disk before any message that depends on it is sent.
///
/// The order of the variants is part of the format on disk.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum LogRecord {
    /// Replaces the previous hard state.
    HardState(HardState),
    /// Appends entries after discarding all existing entries from the first appended index on.
    Entries(Vec<LogEntry>),
    /// Replaces all entries up to the snapshot's index. Discards the later entries too, unless the log's entry at this index has
    /// the snapshot's term.
    Snapshot(Snapshot),
}

/// Everything that a replica keeps on disk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct DurableState {
    /// The term, the vote and the commit index.
    pub hard_state: HardState,
    /// The newest snapshot; its index is 0 before the first one.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl DurableState {
    /// Applies the next record. Applying all records of a log on disk in order restores the log's state.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LogGap`] if an entry's index is not one more than that of the entry before it: the log is
    /// incomplete.
    pub fn apply(&mut self, record: LogRecord) -> Result<(), Error> {
        match record {
            LogRecord::HardState(hard_state) => self.hard_state = hard_state,
            LogRecord::Snapshot(snapshot) => self.install_snapshot(snapshot),
            LogRecord::Entries(entries) => self.append_entries(entries)?,
        }
        Ok(())
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let is_last_included =
            |entry: &LogEntry| entry.index == snapshot.index && entry.term == snapshot.term;
        let matches_log = self.entries.iter().any(is_last_included);
        self.entries.retain(|entry| matches_log && entry.index > snapshot.index);
        self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
        self.snapshot = snapshot;
    }

    fn append_entries(&mut self, entries: Vec<LogEntry>) -> Result<(), Error> {
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

    /// Returns the index of the last entry, or of the snapshot if no entry follows it.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the entry at `index`. Returns `None` if the snapshot includes an entry after `index`, or the log
    /// ends before `index`.
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
                Err(Error::EntryFromLaterTerm { index: entry.index, entry_term: entry.term, term })
            }
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
