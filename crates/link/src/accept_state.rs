//! The state of a listener's accept loop: open, paused, closing or abandoned.

use std::sync::atomic::{AtomicU8, Ordering};

/// What an accept loop does with the connections in the accept queue of its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum AcceptState {
    /// The loop accepts each connection as it arrives.
    Open,
    /// The loop accepts no connections until it is resumed. They stay in the queue.
    Paused,
    /// The loop accepts the connections that are in the queue, then ends.
    Closing,
    /// The loop ends, and leaves the queue to the other processes that accept on the socket.
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
