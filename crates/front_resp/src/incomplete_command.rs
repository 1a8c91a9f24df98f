//! A command of which a part has arrived.

use crate::limits::TYPICAL_REQUEST_BYTES;
use crate::memory::Reservation;
use std::time::{Duration, Instant};

/// The incomplete command at the end of a connection's input, if there is one.
pub(crate) struct IncompleteCommand {
    /// When its first byte arrived.
    since: Option<Instant>,
    reservation: Reservation,
    /// It is answered with an error, since other clients need its memory.
    is_shed: bool,
}

impl IncompleteCommand {
    /// Starts without an incomplete command.
    pub(crate) fn none(reservation: Reservation) -> Self {
        Self { since: None, reservation, is_shed: false }
    }

    /// Continues with a command that began at another process.
    pub(crate) fn resume(&mut self, since: Option<Instant>) {
        self.since = since;
    }

    /// Applies a read. `bytes` are left behind the complete commands; `has_progress` tells that there was one, so that they belong
    /// to a command that has only just begun.
    pub(crate) fn update(&mut self, bytes: usize, has_progress: bool) {
        let since = self.since.filter(|_| !has_progress).unwrap_or_else(Instant::now);
        self.since = (bytes > 0).then_some(since);
        self.reservation.resize(bytes);
        // A command that became complete in time is answered as any other.
        self.is_shed &= self.since.is_some();
    }

    /// Forgets the command, as nothing more is read. Its bytes are freed with the read buffer.
    pub(crate) fn clear(&mut self) {
        self.since = None;
        self.reservation.resize(0);
    }

    /// Whether a part of a command has arrived.
    pub(crate) fn is_pending(&self) -> bool {
        self.since.is_some()
    }

    /// Time since the first byte of the command.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.since.map(|since| since.elapsed())
    }

    /// When the command began, if it may be shed for memory: it is larger than typical ones, and not shed yet.
    pub(crate) fn sheddable_since(&self) -> Option<Instant> {
        let is_large = self.reservation.bytes() >= TYPICAL_REQUEST_BYTES;
        self.since.filter(|_| is_large && !self.is_shed)
    }

    /// Marks the command to be answered with an error.
    pub(crate) fn shed(&mut self) {
        self.is_shed = true;
    }

    pub(crate) fn is_shed(&self) -> bool {
        self.is_shed
    }
}
