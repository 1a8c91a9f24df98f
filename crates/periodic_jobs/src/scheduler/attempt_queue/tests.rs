//! The order of scheduled attempts, and their replacement and cancellation.

use super::*;

const fn unix_millis(millis: u64) -> UnixTime {
    UnixTime::from_millis(millis)
}

#[test]
fn due_attempts_are_removed_in_the_order_of_their_due_times_and_job_indexes() {
    let mut queue = AttemptQueue::default();
    queue.schedule(2, unix_millis(100));
    queue.schedule(1, unix_millis(100));
    queue.schedule(0, unix_millis(200));
    assert_eq!(queue.next_due(), Some(unix_millis(100)));
    assert_eq!(queue.pop_due(unix_millis(99)), None);
    assert_eq!(
        (queue.pop_due(unix_millis(100)), queue.pop_due(unix_millis(100)), queue.pop_due(unix_millis(100))),
        (Some(1), Some(2), None)
    );
    assert_eq!(queue.next_due(), Some(unix_millis(200)));
}

#[test]
fn a_job_has_at_most_one_attempt_scheduled() {
    let mut queue = AttemptQueue::default();
    queue.schedule(0, unix_millis(100));
    queue.schedule(0, unix_millis(50));
    assert_eq!((queue.pop_due(unix_millis(1_000)), queue.pop_due(unix_millis(1_000))), (Some(0), None));
    queue.schedule(0, unix_millis(100));
    queue.cancel(0);
    assert_eq!(queue.next_due(), None);
}
