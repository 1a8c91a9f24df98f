//! A partially received command.

use crate::memory::Reservation;
use std::time::{Duration, Instant};

/// The incomplete command at the end of a connection's input, if there is one.
pub(crate) struct IncompleteCommand {
    /// When the timeout of the command started: at its first byte, or at its last bytes before a hand-over. `None` if no command
    /// is incomplete.
    since: Option<Instant>,
    /// Bytes of the command that have arrived.
    received_bytes: usize,
    /// Accounts for the memory of the read buffer, which exceeds the bytes in it.
    reservation: Reservation,
    /// Whether the command is to be answered with an error to free its memory for other clients.
    is_shed: bool,
}

impl IncompleteCommand {
    /// Creates the state of a connection without an incomplete command. `reservation` accounts for the read buffer.
    pub(crate) fn new(reservation: Reservation) -> Self {
        Self { since: None, received_bytes: 0, reservation, is_shed: false }
    }

    /// Continues with a command that another process has begun to receive. `since` is when the command's timeout started.
    pub(crate) fn resume(&mut self, since: Option<Instant>) {
        self.since = since;
    }

    /// Updates the state after a read. `bytes` is the number of bytes after the last complete command. If the read completed a
    /// command (`has_completed`), these bytes belong to a new one, whose timeout starts now.
    pub(crate) fn update(&mut self, bytes: usize, has_completed: bool) {
        let since = self.since.filter(|_| !has_completed).unwrap_or_else(Instant::now);
        self.since = (bytes > 0).then_some(since);
        self.received_bytes = bytes;
        // A command that is complete before it is shed is answered as usual.
        self.is_shed &= self.since.is_some();
    }

    /// Reserves the memory of the read buffer.
    pub(crate) fn reserve_buffer(&mut self, capacity: usize) {
        self.reservation.resize(capacity);
    }

    /// Discards the command of a connection that is no longer read. The command's bytes are freed with the read buffer.
    pub(crate) fn clear(&mut self) {
        self.since = None;
        self.received_bytes = 0;
        self.reservation.resize(0);
    }

    /// Whether a part of a command has arrived.
    pub(crate) fn is_pending(&self) -> bool {
        self.since.is_some()
    }

    /// Time since the command's timeout started; `None` if no command is incomplete.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.since.map(|since| since.elapsed())
    }

    /// When the timeout of the command started, if the command may be shed: it has at least `min_bytes`, and is not shed yet.
    pub(crate) fn sheddable_since(&self, min_bytes: usize) -> Option<Instant> {
        self.since.filter(|_| self.received_bytes >= min_bytes && !self.is_shed)
    }

    /// Marks the command to be answered with an error.
    pub(crate) fn shed(&mut self) {
        self.is_shed = true;
    }

    pub(crate) fn is_shed(&self) -> bool {
        self.is_shed
    }
}
