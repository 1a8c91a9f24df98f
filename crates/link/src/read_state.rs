//! The state of a connection's receiving side, independent of its socket.

use crate::fairness::MAX_BURST;
use crate::lock::lock_or_abort;
use std::io::ErrorKind;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

#[cfg(test)]
mod tests;

/// EPOLLRDHUP in the event flags of `epoll(7)`: the peer shut down its sending side, or reset the connection.
pub(crate) const PEER_CLOSED_EVENT: usize = 0x2000;

/// The state of a connection's receiving side.
///
/// ```text
///                 read: would block
///   +----------+ -------------------> +---------+
///   | readable |                      | drained |
///   +----------+ <------------------- +---------+
///        |            any event            |
///        | read: end of stream or error    | EPOLLRDHUP event
///        v                                 v
///   +-------------------------------------------+
///   | peer closed: final. Bytes that the peer   |
///   | sent before are read first, then the end  |
///   | of stream or the error.                   |
///   +-------------------------------------------+
/// ```
///
/// The wake flag is independent of these states: [`ReadState::wake`] sets it from any thread, and the reader takes it. A reader
/// that finds bytes restores it, so that the wake is reported once nothing is left to read.
///
/// Only the connection's own coroutine calls the methods other than `wake` and `is_peer_closed`. The flags other than the wake
/// flag do not synchronize other memory, so their accesses are relaxed.
#[derive(Debug, Default)]
pub(crate) struct ReadState {
    is_woken: AtomicBool,
    is_peer_closed: AtomicBool,
    /// Whether the last read would have blocked, so that more bytes can only come with an event.
    is_drained: AtomicBool,
    /// Whether the worker has polled for events at least once during this connection's life.
    was_polled: AtomicBool,
    /// Number of consecutive reads that did not have to wait, which limits a burst of reads.
    burst_read_count: AtomicU32,
    /// An error that occurred after some bytes were read. The system reports it once, so it is kept for the next read.
    deferred_error: Mutex<Option<ErrorKind>>,
}

impl ReadState {
    /// Applies the event flags that the system has reported since the last call.
    pub(crate) fn apply_events(&self, events: usize) {
        if events != 0 {
            self.is_drained.store(false, Ordering::Relaxed);
        }
        if events & PEER_CLOSED_EVENT != 0 {
            self.set_peer_closed();
        }
    }

    /// Records that a read would have blocked.
    pub(crate) fn set_drained(&self) {
        self.is_drained.store(true, Ordering::Relaxed);
    }

    /// Whether the socket had nothing to read, and no event has been reported since that read.
    pub(crate) fn is_drained(&self) -> bool {
        self.is_drained.load(Ordering::Relaxed)
    }

    /// Records that the peer has shut down its sending side or reset the connection.
    pub(crate) fn set_peer_closed(&self) {
        self.is_peer_closed.store(true, Ordering::Relaxed);
    }

    /// Whether the peer has shut down its sending side or reset the connection, even if earlier bytes are unread.
    pub(crate) fn is_peer_closed(&self) -> bool {
        self.is_peer_closed.load(Ordering::Relaxed)
    }

    /// Keeps an error that occurred after some bytes were read, for the next read.
    pub(crate) fn defer_error(&self, kind: ErrorKind) {
        *lock_or_abort(&self.deferred_error) = Some(kind);
    }

    /// Takes the error that an earlier read has deferred. Acquires no lock while the peer is connected.
    pub(crate) fn take_deferred_error(&self) -> Option<ErrorKind> {
        if self.is_peer_closed() { lock_or_abort(&self.deferred_error).take() } else { None }
    }

    /// Sets the wake flag, for which the reader returns [`Incoming::Woken`](crate::Incoming::Woken) once.
    pub(crate) fn wake(&self) {
        self.is_woken.store(true, Ordering::Release);
    }

    /// Clears the wake flag and returns whether it was set.
    pub(crate) fn take_wake(&self) -> bool {
        self.is_woken.swap(false, Ordering::AcqRel)
    }

    /// Restores a wake flag that was taken, without losing one that was set since.
    pub(crate) fn restore_wake(&self, was_woken: bool) {
        self.is_woken.fetch_or(was_woken, Ordering::AcqRel);
    }

    /// Returns true only at its first call: the reader must then let the worker poll for events.
    pub(crate) fn take_first_poll(&self) -> bool {
        !self.was_polled.swap(true, Ordering::Relaxed)
    }

    /// Counts a read, and returns whether the burst has reached its maximum, so that the reader must yield.
    pub(crate) fn count_read(&self) -> bool {
        let is_over = self.burst_read_count.fetch_add(1, Ordering::Relaxed) >= MAX_BURST;
        if is_over {
            self.end_burst();
        }
        is_over
    }

    /// Ends the burst, because the reader has waited or is about to wait.
    pub(crate) fn end_burst(&self) {
        self.burst_read_count.store(0, Ordering::Relaxed);
    }
}
