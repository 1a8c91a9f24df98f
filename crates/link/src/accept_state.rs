//! The state of an accept loop.

use std::sync::atomic::{AtomicU8, Ordering};

/// Whether an accept loop accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum AcceptState {
    /// Accepts connections.
    Open,
    /// Accepts no connections until it is resumed.
    Paused,
    /// Accepts the connections in the backlog, then ends.
    Closing,
    /// Ends, and leaves the backlog to the other processes that accept on the socket.
    Abandoned,
}

impl AcceptState {
    const ALL: [Self; 4] = [Self::Open, Self::Paused, Self::Closing, Self::Abandoned];
}

/// An [`AcceptState`] that several threads may read and set.
#[derive(Debug)]
pub(crate) struct SharedAcceptState(AtomicU8);

impl SharedAcceptState {
    pub(crate) fn new(state: AcceptState) -> Self {
        Self(AtomicU8::new(state as u8))
    }

    pub(crate) fn get(&self) -> AcceptState {
        AcceptState::ALL[usize::from(self.0.load(Ordering::Acquire))]
    }

    pub(crate) fn set(&self, state: AcceptState) {
        self.0.store(state as u8, Ordering::Release);
    }
}
