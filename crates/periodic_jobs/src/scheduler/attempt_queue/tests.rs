//! The order of attempts and their replacement.

use super::*;

#[test]
fn due_attempts_are_taken_in_the_order_of_their_moments_and_job_indexes() {
    let mut queue = AttemptQueue::default();
    queue.schedule(2, 100);
    queue.schedule(1, 100);
    queue.schedule(0, 200);
    assert_eq!(queue.next_due_unix_ms(), Some(100));
    assert_eq!(queue.pop_due(99), None);
    assert_eq!((queue.pop_due(100), queue.pop_due(100), queue.pop_due(100)), (Some(1), Some(2), None));
    assert_eq!(queue.next_due_unix_ms(), Some(200));
}

#[test]
fn a_job_has_at_most_one_attempt_scheduled() {
    let mut queue = AttemptQueue::default();
    queue.schedule(0, 100);
    queue.schedule(0, 50);
    assert_eq!((queue.pop_due(1_000), queue.pop_due(1_000)), (Some(0), None));
    queue.schedule(0, 100);
    queue.cancel(0);
    assert_eq!(queue.next_due_unix_ms(), None);
}
