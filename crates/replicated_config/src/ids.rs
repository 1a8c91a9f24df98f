//! Identifiers of replicas, lease requests and proposals.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A replica's number: its position, counted from 1, in the list of replicas that all nodes are configured with.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl ReplicaId {
    /// The replica at this index of the configured list.
    pub fn from_index(index: usize) -> Self {
        Self(index as u64 + 1)
    }

    /// Its index in the configured list; none for 0, which Raft uses for "no replica".
    pub fn index(self) -> Option<usize> {
        (self.0 as usize).checked_sub(1)
    }
}

impl ReplicaId {
    /// Converts a number of the Raft library, which uses 0 for "no replica".
    pub(crate) fn from_raft(number: u64) -> Option<Self> {
        (number != 0).then_some(Self(number))
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifies a lease request among those of one client. Later requests have larger ids.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifies a proposal. The proposer picks it and repeats it on each retry, so that a proposal is applied at most once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ProposalId(pub u64);

impl fmt::Display for ProposalId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Serializes an optional replica as the Raft library does: as its number, 0 for none.
pub(crate) mod zero_for_none {
    use super::ReplicaId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(crate) fn serialize<S: Serializer>(
        replica: &Option<ReplicaId>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        replica.map_or(0, |replica| replica.0).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<ReplicaId>, D::Error> {
        u64::deserialize(deserializer).map(ReplicaId::from_raft)
    }
}
