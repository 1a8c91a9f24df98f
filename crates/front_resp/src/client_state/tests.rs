//! When a connection counts as evictable, overdue, silent or lingering.

use super::*;
use crate::answer_queue::Slot;
use crate::memory::MemoryBudget;

fn new_connection() -> ClientState {
    let budget = MemoryBudget::new(1 << 20);
    ClientState::new(Reservation::empty(&budget), Reservation::empty(&budget))
}

impl ClientState {
    /// Makes the connection look as if it became idle this long ago.
    pub(crate) fn backdate_idle(&mut self, idle: Duration) {
        self.idle_since = instant_before_now(idle);
    }
}

/// A connection that became idle this long ago.
fn idle_for(idle: Duration) -> ClientState {
    let mut state = new_connection();
    state.backdate_idle(idle);
    state
}

fn instant_before_now(time: Duration) -> Instant {
    Instant::now().checked_sub(time).expect("the machine has been up for longer")
}

fn answer_first_command(state: &mut ClientState) {
    let _reservation = Reservation::empty(&MemoryBudget::new(0));
    *state.answers.slot(0).expect("the first command is queued") =
        Slot::Answered { bytes: b"+OK\r\n".to_vec(), _reservation };
    assert_eq!(state.answers.take_due(0).bytes, b"+OK\r\n");
}

#[test]
fn a_connection_without_a_request_is_evictable_after_the_shorter_timeout() {
    assert_eq!(new_connection().evictable_for(), None);
    let mut state = idle_for(UNUSED_TIMEOUT);
    state.record_valid_command();
    assert!(state.evictable_for().is_some());
    state.record_request();
    assert_eq!(state.evictable_for(), None);
    let mut state = idle_for(IDLE_TIMEOUT);
    state.record_request();
    assert!(state.evictable_for() >= Some(IDLE_TIMEOUT));
}

#[test]
fn a_connection_in_use_is_not_evictable() {
    let mut state = idle_for(IDLE_TIMEOUT);
    state.answers.push();
    assert_eq!(state.evictable_for(), None, "a command waits for its answer");
    answer_first_command(&mut state);
    assert!(state.evictable_for().is_some());
    state.incomplete_command.update(1, false);
    assert_eq!(state.evictable_for(), None, "a command is incomplete");
}

#[test]
fn an_eviction_request_is_dropped_if_the_connection_was_used_since() {
    let mut state = idle_for(IDLE_TIMEOUT);
    state.request_eviction();
    assert!(state.take_eviction());
    assert!(!state.take_eviction(), "the request is taken once");
    state.request_eviction();
    state.record_idle();
    assert!(!state.take_eviction());
    state.backdate_idle(IDLE_TIMEOUT);
    assert!(!state.take_eviction(), "the check has cleared the request");
}

#[test]
fn only_a_connection_without_a_valid_command_is_silent() {
    assert!(!idle_for(UNUSED_TIMEOUT).is_silent());
    let mut state = idle_for(IDLE_TIMEOUT);
    assert!(state.is_silent());
    state.record_valid_command();
    assert!(!state.is_silent());
}

#[test]
fn an_incomplete_command_is_overdue_after_its_timeout() {
    let mut state = new_connection();
    state.incomplete_command.resume(Some(instant_before_now(COMMAND_TIMEOUT)));
    assert!(state.is_command_overdue());
    state.incomplete_command.update(1, false);
    assert!(state.is_command_overdue(), "further bytes do not extend the timeout");
    state.incomplete_command.update(1, true);
    assert!(!state.is_command_overdue(), "these bytes begin the next command");
}

#[test]
fn the_timeout_of_the_first_command_counts_from_the_start_of_the_connection() {
    let mut state = idle_for(FIRST_COMMAND_TIMEOUT);
    assert!(!state.is_command_overdue(), "nothing has arrived");
    state.incomplete_command.update(1, false);
    assert!(state.is_command_overdue());
    state.record_valid_command();
    assert!(!state.is_command_overdue());
}

#[test]
fn a_connection_lingers_once_its_last_answer_is_written() {
    let mut state = new_connection();
    state.answers.push();
    state.incomplete_command.update(1, true);
    state.end();
    assert!(state.is_ending() && !state.incomplete_command.is_pending());
    assert_eq!(state.lingering_for(), None);
    answer_first_command(&mut state);
    assert!(state.lingering_for().is_some());
}

#[test]
fn only_a_large_incomplete_command_is_shed_and_only_while_incomplete() {
    use crate::limits::TYPICAL_REQUEST_BYTES;
    let mut state = new_connection();
    state.incomplete_command.update(TYPICAL_REQUEST_BYTES - 1, false);
    assert_eq!(state.incomplete_command.sheddable_since(TYPICAL_REQUEST_BYTES), None);
    state.incomplete_command.update(TYPICAL_REQUEST_BYTES, false);
    assert!(state.incomplete_command.sheddable_since(TYPICAL_REQUEST_BYTES).is_some());
    state.incomplete_command.shed();
    assert_eq!(
        state.incomplete_command.sheddable_since(TYPICAL_REQUEST_BYTES),
        None,
        "a command is shed once"
    );
    assert!(state.incomplete_command.is_shed());
    state.incomplete_command.update(0, true);
    assert!(!state.incomplete_command.is_shed(), "the command is complete");
}
