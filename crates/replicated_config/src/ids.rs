//! Identifiers of replicas, lease requests and proposals.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The id of a replica: its position, counted from 1, in the list of replicas that all nodes are configured with.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

/// The Raft library's id for "no replica": no vote was cast, or no leader is known.
const NO_REPLICA: u64 = 0;

impl ReplicaId {
    /// Returns the id of the replica at this index, counted from 0, in the configured list.
    pub fn from_index(index: usize) -> Self {
        Self(index as u64 + 1)
    }

    /// Returns the replica's index in the configured list, or `None` for id 0, which Raft uses for "no replica".
    pub fn index(self) -> Option<usize> {
        (self.0 as usize).checked_sub(1)
    }

    pub(crate) fn from_raft(number: u64) -> Option<Self> {
        (number != NO_REPLICA).then_some(Self(number))
    }

    pub(crate) fn to_raft(replica: Option<Self>) -> u64 {
        replica.map_or(NO_REPLICA, |replica| replica.0)
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

impl RequestId {
    /// Returns the id of the request after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifies a proposal. The proposer chooses the id and repeats it in each retry, so that the proposal is applied at most once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ProposalId(pub u64);

impl fmt::Display for ProposalId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Serializes an optional replica as Raft does: as its id, or 0 for `None`.
pub(crate) mod zero_for_none {
    use super::ReplicaId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(crate) fn serialize<S: Serializer>(
        replica: &Option<ReplicaId>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        ReplicaId::to_raft(*replica).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<ReplicaId>, D::Error> {
        u64::deserialize(deserializer).map(ReplicaId::from_raft)
    }
}
