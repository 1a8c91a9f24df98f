//! The storage from which the Raft library reads the replica's log, and conversions between this crate's and the library's types.

use crate::error::Error;
use crate::ids::ReplicaId;
use crate::log::{DurableState, HardState, LogEntry, LogRecord, Snapshot};
use crate::log_position::{LogIndex, Term};
use raft::eraftpb::{self, ConfState};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

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
        let (index, term) = (LogIndex(metadata.index), Term(metadata.term));
        Self { index, term, state: snapshot.data.to_vec() }
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

impl HardState {
    pub(crate) fn from_raft(hard_state: &eraftpb::HardState) -> Self {
        Self {
            term: Term(hard_state.term),
            vote: ReplicaId::from_raft(hard_state.vote),
            commit: LogIndex(hard_state.commit),
        }
    }

    fn to_raft(self) -> eraftpb::HardState {
        eraftpb::HardState {
            term: self.term.0,
            vote: ReplicaId::to_raft(self.vote),
            commit: self.commit.0,
            ..eraftpb::HardState::default()
        }
    }
}

fn conf_state(replicas: &[ReplicaId]) -> ConfState {
    ConfState { voters: replicas.iter().map(|replica| replica.0).collect(), ..ConfState::default() }
}

/// A copy of the durable state in memory, which the Raft library reads as its storage.
pub(crate) struct LogStorage {
    durable: DurableState,
    replicas: Vec<ReplicaId>,
}

impl LogStorage {
    /// Creates the storage of a replica that resumes from `durable`.
    pub(crate) fn new(durable: DurableState, replicas: Vec<ReplicaId>) -> Self {
        Self { durable, replicas }
    }

    pub(crate) fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// Returns all configured replicas.
    pub(crate) fn replicas(&self) -> &[ReplicaId] {
        &self.replicas
    }

    /// Applies a record that the caller also writes to disk.
    pub(crate) fn apply(&mut self, record: LogRecord) -> Result<(), Error> {
        self.durable.apply(record)
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let hard_state = self.durable.hard_state.to_raft();
        Ok(RaftState { hard_state, conf_state: conf_state(&self.replicas) })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        let first = self.first_index()?;
        if low < first {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let max_bytes = max_size.into().unwrap_or(u64::MAX);
        let mut taken_bytes = 0;
        let requested = self.durable.entries.iter().skip((low - first) as usize).take((high - low) as usize);
        let fitting = requested.take_while(|entry| {
            let entry_bytes = entry.data.len() as u64;
            // The library needs at least one entry, even if it exceeds `max_bytes`.
            let is_first = taken_bytes == 0;
            let fits = is_first || taken_bytes + entry_bytes <= max_bytes;
            // An empty entry counts as one byte, so that `taken_bytes` is 0 only for the first entry.
            taken_bytes += entry_bytes.max(1);
            fits
        });
        Ok(fitting.map(LogEntry::to_raft).collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let index = LogIndex(index);
        if index < self.durable.snapshot.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let term = self.durable.term_at(index);
        term.map(|term| term.0).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.durable.snapshot.index.next().0)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.durable.last_index().0)
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        if LogIndex(request_index) > self.durable.snapshot.index {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.durable.snapshot.to_raft(&self.replicas))
    }
}
