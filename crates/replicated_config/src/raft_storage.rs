//! The durable state in memory, as the Raft library reads it.

use crate::ids::ReplicaId;
use crate::log::{DurableState, LogEntry, LogIndex, Snapshot, Term};
use raft::eraftpb::{self, ConfState};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

impl LogEntry {
    pub(crate) fn from_raft(entry: &eraftpb::Entry) -> Self {
        Self { index: LogIndex(entry.index), term: Term(entry.term), data: entry.data.to_vec() }
    }

    pub(crate) fn to_raft(&self) -> eraftpb::Entry {
        eraftpb::Entry {
            index: self.index.0,
            term: self.term.0,
            data: self.data.clone().into(),
            ..eraftpb::Entry::default()
        }
    }
}

impl Snapshot {
    pub(crate) fn from_raft(snapshot: &eraftpb::Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        Self { index: LogIndex(metadata.index), term: Term(metadata.term), state: snapshot.data.to_vec() }
    }

    pub(crate) fn to_raft(&self, replicas: &[ReplicaId]) -> eraftpb::Snapshot {
        let mut snapshot =
            eraftpb::Snapshot { data: self.state.clone().into(), ..eraftpb::Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        metadata.index = self.index.0;
        metadata.term = self.term.0;
        metadata.set_conf_state(conf_state(replicas));
        snapshot
    }
}

fn conf_state(replicas: &[ReplicaId]) -> ConfState {
    ConfState { voters: replicas.iter().map(|replica| replica.0).collect(), ..ConfState::default() }
}

/// The replica's log, for the Raft library.
pub(crate) struct LogStorage {
    pub(crate) durable: DurableState,
    pub(crate) replicas: Vec<ReplicaId>,
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let durable = self.durable.hard_state;
        let hard_state = eraftpb::HardState {
            term: durable.term.0,
            vote: durable.vote.map_or(0, |replica| replica.0),
            commit: durable.commit.0,
            ..eraftpb::HardState::default()
        };
        Ok(RaftState { hard_state, conf_state: conf_state(&self.replicas) })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        let first = self.durable.snapshot.index.0 + 1;
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        let max_bytes = max_size.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let requested = self.durable.entries.iter().skip((low - first) as usize).take((high - low) as usize);
        let fitting = requested.take_while(|entry| {
            // The library needs at least one entry, however large.
            let fits = bytes == 0 || bytes + entry.data.len() as u64 <= max_bytes;
            bytes += entry.data.len().max(1) as u64;
            fits
        });
        Ok(fitting.map(LogEntry::to_raft).collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.durable.snapshot.index.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.durable
            .term_at(LogIndex(index))
            .map(|term| term.0)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.durable.snapshot.index.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.durable.last_index().0)
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        if request_index > self.durable.snapshot.index.0 {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.durable.snapshot.to_raft(&self.replicas))
    }
}
