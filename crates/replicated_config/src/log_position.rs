//! The term and the index of an entry in the Raft log.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A Raft term: the logical clock that advances with each election. Each term has at most one leader.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Term(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The position of an entry in the Raft log. The first entry has index 1; index 0 precedes it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the index of the next entry.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the number of entries from the index `earlier` to this index, or `None` if this index precedes `earlier`.
    pub(crate) fn distance_from(self, earlier: Self) -> Option<usize> {
        self.0.checked_sub(earlier.0).map(|distance| distance as usize)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
