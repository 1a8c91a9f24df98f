//! A replica's durable state: the records that it writes to disk, and what they add up to.

mod position;

pub use position::{LogIndex, Term};

use crate::error::Error;
use crate::ids::ReplicaId;
use serde::{Deserialize, Serialize};

/// An entry of the Raft log, as it is written to disk and sent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct LogEntry {
    /// Its position in the log, from 1.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The encoded [`Command`](crate::Command); empty for the first entry of each leader.
    pub data: Vec<u8>,
}

/// The state after all entries up to an index, which replaces these entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// The last entry that it includes.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The encoded [`ConfigState`](crate::ConfigState); empty before the first snapshot.
    pub state: Vec<u8>,
}

/// Raft's hard state.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct HardState {
    /// The latest term that the replica knows of.
    pub term: Term,
    /// The replica that it voted for in this term. It is stored as a number, 0 for none.
    #[serde(with = "crate::ids::zero_for_none")]
    pub vote: Option<ReplicaId>,
    /// The last entry that is known to be committed.
    pub commit: LogIndex,
}

/// A record to be written to disk before anything that depends on it is sent.
///
/// The order of the variants is part of the format on disk.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum LogRecord {
    /// The hard state has changed.
    HardState(HardState),
    /// Appends entries. Earlier entries at their indexes, and all behind them, are discarded.
    Entries(Vec<LogEntry>),
    /// Replaces all entries up to the snapshot's index; all entries where the log has another entry, or none, at the index.
    Snapshot(Snapshot),
}

/// All that a replica keeps on disk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct DurableState {
    /// The last hard state.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries behind the snapshot.
    pub entries: Vec<LogEntry>,
}

impl DurableState {
    /// Applies the next record. Reading a log from disk applies its records in order.
    ///
    /// # Errors
    ///
    /// [`Error::LogGap`] where an entry does not follow the one before it: the log is not complete.
    pub fn apply(&mut self, record: LogRecord) -> Result<(), Error> {
        match record {
            LogRecord::HardState(hard_state) => self.hard_state = hard_state,
            LogRecord::Snapshot(snapshot) => self.install(snapshot),
            LogRecord::Entries(entries) => self.append(entries)?,
        }
        Ok(())
    }

    fn install(&mut self, snapshot: Snapshot) {
        let matches = |entry: &LogEntry| entry.index == snapshot.index && entry.term == snapshot.term;
        let is_in_log = self.entries.iter().any(matches);
        self.entries.retain(|entry| is_in_log && entry.index > snapshot.index);
        self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
        self.snapshot = snapshot;
    }

    fn append(&mut self, entries: Vec<LogEntry>) -> Result<(), Error> {
        let first = entries.first().map(|entry| entry.index);
        self.entries.retain(|entry| first.is_none_or(|first| entry.index < first));
        for entry in entries {
            let previous = self.last_index();
            if entry.index != previous.next() {
                return Err(Error::LogGap { index: entry.index, previous });
            }
            self.entries.push(entry);
        }
        Ok(())
    }

    /// The index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// The term of the entry at this index, where it is the snapshot's last one or behind it.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let position = index.distance_from(self.snapshot.index.next())?;
        self.entries.get(position).map(|entry| entry.term)
    }

    /// Checks that the log holds what its hard state says.
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
