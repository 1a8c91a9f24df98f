//! The order of attempts and their replacement.

use super::*;

const fn at(millis: u64) -> UnixTime {
    UnixTime::from_millis(millis)
}

#[test]
fn due_attempts_are_taken_in_the_order_of_their_moments_and_job_indexes() {
    let mut queue = AttemptQueue::default();
    queue.schedule(2, at(100));
    queue.schedule(1, at(100));
    queue.schedule(0, at(200));
    assert_eq!(queue.next_due(), Some(at(100)));
    assert_eq!(queue.pop_due(at(99)), None);
    assert_eq!(
        (queue.pop_due(at(100)), queue.pop_due(at(100)), queue.pop_due(at(100))),
        (Some(1), Some(2), None)
    );
    assert_eq!(queue.next_due(), Some(at(200)));
}

#[test]
fn a_job_has_at_most_one_attempt_scheduled() {
    let mut queue = AttemptQueue::default();
    queue.schedule(0, at(100));
    queue.schedule(0, at(50));
    assert_eq!((queue.pop_due(at(1_000)), queue.pop_due(at(1_000))), (Some(0), None));
    queue.schedule(0, at(100));
    queue.cancel(0);
    assert_eq!(queue.next_due(), None);
}
