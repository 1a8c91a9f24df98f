//! The client connections that a front may not close yet, for the shutdown of the process.

#[cfg(test)]
mod tests;

/// What a client still waits for on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingWork {
    /// A part of a request has arrived. The rest may follow.
    IncompleteRequest,
    /// A complete request has no final answer yet.
    UnansweredRequest,
    /// The socket has not taken all bytes of an answer yet.
    UnsentAnswer,
}

/// The number of open client connections for each kind of [`PendingWork`]. A connection counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingConnections {
    /// Connections with a [`PendingWork::IncompleteRequest`].
    pub incomplete: usize,
    /// Connections with a [`PendingWork::UnansweredRequest`].
    pub unanswered: usize,
    /// Connections with a [`PendingWork::UnsentAnswer`].
    pub unsent: usize,
}

impl PendingConnections {
    /// Whether no client waits for anything.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl FromIterator<PendingWork> for PendingConnections {
    fn from_iter<I: IntoIterator<Item = PendingWork>>(connections: I) -> Self {
        let mut counts = Self::default();
        for work in connections {
            match work {
                PendingWork::IncompleteRequest => counts.incomplete += 1,
                PendingWork::UnansweredRequest => counts.unanswered += 1,
                PendingWork::UnsentAnswer => counts.unsent += 1,
            }
        }
        counts
    }
}
