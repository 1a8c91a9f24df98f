//! The order of scheduled attempts, and their replacement and cancellation.

use super::*;

const fn unix_millis(millis: u64) -> UnixTime {
    UnixTime::from_millis(millis)
}

/// Removes the earliest attempt if it is due, and returns its job.
fn take_due(queue: &mut AttemptQueue, now: UnixTime) -> Option<usize> {
    queue.first_due(now).inspect(|&job_index| queue.cancel(job_index))
}

#[test]
fn due_attempts_are_removed_in_the_order_of_their_due_times_and_job_indexes() {
    let mut queue = AttemptQueue::default();
    queue.schedule(2, unix_millis(100));
    queue.schedule(1, unix_millis(100));
    queue.schedule(0, unix_millis(200));
    assert_eq!(queue.next_due(), Some(unix_millis(100)));
    assert_eq!(take_due(&mut queue, unix_millis(99)), None);
    assert_eq!(take_due(&mut queue, unix_millis(100)), Some(1));
    assert_eq!(take_due(&mut queue, unix_millis(100)), Some(2));
    assert_eq!(take_due(&mut queue, unix_millis(100)), None);
    assert_eq!(queue.next_due(), Some(unix_millis(200)));
}

#[test]
fn a_job_has_at_most_one_attempt_scheduled() {
    let mut queue = AttemptQueue::default();
    queue.schedule(0, unix_millis(100));
    queue.schedule(0, unix_millis(50));
    assert_eq!(take_due(&mut queue, unix_millis(1_000)), Some(0));
    assert_eq!(take_due(&mut queue, unix_millis(1_000)), None);
    queue.schedule(0, unix_millis(100));
    queue.cancel(0);
    assert_eq!(queue.next_due(), None);
}
