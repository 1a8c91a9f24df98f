//! The log of a voter: what is on its disk, and the same in memory as the library asks for it.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

/// An entry as it is written down and sent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Its index.
    pub index: u64,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it says; empty for the first of each leader.
    pub data: Vec<u8>,
}

impl Line {
    pub(crate) fn of(entry: &Entry) -> Self {
        Self { index: entry.index, term: entry.term, data: entry.data.to_vec() }
    }

    pub(crate) fn entry(&self) -> Entry {
        Entry { index: self.index, term: self.term, data: self.data.clone().into(), ..Entry::default() }
    }
}

/// What all entries up to one amount to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Base {
    /// The last of them.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// The state after it.
    pub state: Vec<u8>,
}

/// Something to be written down before anything behind it is sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Record {
    /// The term, whom this voter has voted for in it (0 for nobody), and what is known to be agreed.
    Hard(u64, u64, u64),
    /// These entries follow those before them; what was written at their indexes or behind them is void.
    Lines(Vec<Line>),
    /// What was written up to this index is replaced by the state after it; where nothing was written at the index, all is.
    Base(Base),
}

/// All that a voter has written down.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Kept {
    /// As [`Record::Hard`].
    pub hard: (u64, u64, u64),
    /// As [`Record::Base`].
    pub base: Base,
    /// The entries behind it.
    pub lines: Vec<Line>,
}

impl Kept {
    /// Takes in one more record. What is read from a disk is put together by this.
    ///
    /// # Errors
    ///
    /// It does not follow what was written before it: the log is not whole.
    pub fn take(&mut self, record: Record) -> Result<(), &'static str> {
        match record {
            Record::Hard(term, vote, agreed) => self.hard = (term, vote, agreed),
            Record::Base(base) => {
                let known = self.lines.iter().any(|l| l.index == base.index && l.term == base.term);
                self.lines.retain(|l| known && l.index > base.index);
                self.hard.2 = self.hard.2.max(base.index);
                self.base = base;
            }
            Record::Lines(lines) => {
                let first = lines.first().map_or(u64::MAX, |l| l.index);
                self.lines.retain(|l| l.index < first);
                for line in lines {
                    if line.index != self.last() + 1 {
                        return Err("an entry does not follow the one before it");
                    }
                    self.lines.push(line);
                }
            }
        }
        Ok(())
    }

    /// The index of the last entry.
    pub fn last(&self) -> u64 {
        self.lines.last().map_or(self.base.index, |l| l.index)
    }

    fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.lines.get(index.checked_sub(self.base.index + 1)? as usize).map(|l| l.term)
    }
}

/// The log as the library asks for it.
pub(crate) struct Store {
    pub(crate) kept: Kept,
    pub(crate) voters: Vec<u64>,
}

impl Store {
    fn conf(&self) -> ConfState {
        ConfState { voters: self.voters.clone(), ..ConfState::default() }
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let (term, vote, commit) = self.kept.hard;
        let hard_state = HardState { term, vote, commit, ..HardState::default() };
        Ok(RaftState { hard_state, conf_state: self.conf() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let first = self.kept.base.index + 1;
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        let most = max_size.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let lines = self.kept.lines.iter().skip((low - first) as usize).take((high - low) as usize);
        let within = lines.take_while(|line| {
            // One at least, however large.
            let fits = bytes == 0 || bytes + line.data.len() as u64 <= most;
            bytes += line.data.len().max(1) as u64;
            fits
        });
        Ok(within.map(Line::entry).collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.kept.base.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.kept.term(index).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.kept.base.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.kept.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if request_index > self.kept.base.index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snapshot(&self.kept.base, self.conf()))
    }
}

pub(crate) fn snapshot(base: &Base, conf: ConfState) -> Snapshot {
    let mut snapshot = Snapshot { data: base.state.clone().into(), ..Snapshot::default() };
    let meta = snapshot.mut_metadata();
    (meta.index, meta.term) = (base.index, base.term);
    meta.set_conf_state(conf);
    snapshot
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lines(range: std::ops::RangeInclusive<u64>, term: u64) -> Record {
        Record::Lines(range.map(|index| Line { index, term, data: vec![index as u8] }).collect())
    }

    #[test]
    fn what_is_written_again_replaces_what_was_there_and_behind_it() {
        let mut kept = Kept::default();
        kept.take(lines(1..=5, 1)).expect("it follows");
        kept.take(lines(3..=4, 2)).expect("it follows");
        assert_eq!((kept.last(), kept.term(2), kept.term(4), kept.term(5)), (4, Some(1), Some(2), None));
        assert!(kept.take(lines(6..=6, 2)).is_err(), "a gap");
    }

    #[test]
    fn a_base_replaces_what_is_up_to_it_and_all_where_the_log_is_another() {
        let mut kept = Kept::default();
        kept.take(lines(1..=5, 1)).expect("it follows");
        let base = |index, term| Record::Base(Base { index, term, state: vec![7] });
        kept.take(base(3, 1)).expect("it follows");
        assert_eq!((kept.base.index, kept.lines.len(), kept.last(), kept.term(3)), (3, 2, 5, Some(1)));
        kept.take(base(9, 4)).expect("it replaces all");
        assert_eq!((kept.last(), kept.lines.len(), kept.hard.2), (9, 0, 9));
    }
}
