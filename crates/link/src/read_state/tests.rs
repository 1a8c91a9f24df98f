//! State transitions of a connection's receiving side.

use super::*;

/// EPOLLIN: bytes have arrived.
const READABLE_EVENT: usize = 0x1;

#[test]
fn any_event_makes_a_drained_connection_readable() {
    let state = ReadState::default();
    state.set_drained();
    state.apply_events(0);
    assert!(state.is_drained(), "no event has occurred");
    state.apply_events(READABLE_EVENT);
    assert!(!state.is_drained());
    assert!(!state.is_peer_closed());
}

#[test]
fn a_closed_peer_stays_closed_and_its_last_bytes_are_readable() {
    let state = ReadState::default();
    state.set_drained();
    state.apply_events(PEER_CLOSED_EVENT | READABLE_EVENT);
    assert!(state.is_peer_closed() && !state.is_drained());
    state.apply_events(READABLE_EVENT);
    assert!(state.is_peer_closed());
}

#[test]
fn a_deferred_error_is_returned_once_by_the_next_read() {
    let state = ReadState::default();
    state.set_peer_closed();
    state.defer_error(ErrorKind::ConnectionReset);
    assert_eq!(state.take_deferred_error(), Some(ErrorKind::ConnectionReset));
    assert_eq!(state.take_deferred_error(), None);
}

#[test]
fn a_wake_is_taken_once_and_can_be_restored() {
    let state = ReadState::default();
    state.wake();
    assert!(state.take_wake());
    assert!(!state.take_wake());
    state.restore_wake(true);
    assert!(state.take_wake());
    state.wake();
    state.restore_wake(false);
    assert!(state.take_wake(), "a wake that was set meanwhile is kept");
}

#[test]
fn a_burst_ends_after_the_maximum_of_consecutive_reads() {
    let state = ReadState::default();
    let reads_until_yield = || (1..).find(|_| state.count_read()).expect("a burst ends");
    assert_eq!(reads_until_yield(), MAX_BURST + 1);
    assert_eq!(reads_until_yield(), MAX_BURST + 1);
    state.count_read();
    state.end_burst();
    assert_eq!(reads_until_yield(), MAX_BURST + 1, "a reader that waits starts a new burst");
}

#[test]
fn the_first_poll_is_due_once() {
    let state = ReadState::default();
    assert!(state.take_first_poll());
    assert!(!state.take_first_poll());
}
