//! The pauses of many gatekeepers in simulated time.

use super::*;
use std::collections::{BTreeSet, VecDeque};

/// How long the discovery service takes for a request.
const SERVICE_MS: u64 = 60;
/// How long a request may wait. One that nobody waits for any more is served all the same.
const MAX_WAIT_MS: u64 = 2_000;
/// How many requests may wait: beyond that a request is rejected at once.
const MAX_QUEUE: usize = 90;
const GATEKEEPERS: usize = 100;

/// A hundred gatekeepers whose watches end at the same moment, before a service of fixed capacity. Returns ms until the last one
/// has its watch back, if all have within a minute, and the requests made.
fn all_lose_their_watches(
    seed: u64,
    mut pause: impl FnMut(usize, Duration) -> Duration,
) -> (Option<u64>, usize) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut due: BTreeSet<(u64, usize)> = (0..GATEKEEPERS)
        .map(|who| (pause(who, MIN_WORKING_AGE).as_millis() as u64 + random.u64(0..5), who))
        .collect();
    let (mut queue, mut next_service_ms, mut back, mut requests) = (VecDeque::new(), 0, 0, 0);
    for now in 0..60_000 {
        while let Some(&(due_ms, who)) = due.first()
            && due_ms <= now
        {
            due.pop_first();
            requests += 1;
            if queue.len() < MAX_QUEUE {
                queue.push_back((now, who));
            } else {
                due.insert((now + 1 + pause(who, Duration::ZERO).as_millis() as u64, who));
            }
        }
        if now >= next_service_ms
            && let Some((since, who)) = queue.pop_front()
        {
            next_service_ms = now + SERVICE_MS;
            if now - since <= MAX_WAIT_MS {
                back += 1;
                if back == GATEKEEPERS {
                    return (Some(now), requests);
                }
            } else {
                // It timed out then.
                let waited = Duration::from_millis(MAX_WAIT_MS);
                let due_ms = since + MAX_WAIT_MS + pause(who, waited).as_millis() as u64;
                due.insert((due_ms.max(now), who));
            }
        }
    }
    (None, requests)
}

/// Seen with a fixed pause of 200 ms: after all watches had ended at once no request was served in time ever again.
#[test]
fn a_hundred_that_lose_their_watches_together_get_them_back() {
    for seed in 0..20 {
        let mut backoffs: Vec<PollBackoff> =
            (0..100).map(|who| PollBackoff::new(seed << 8 | who, true)).collect();
        let (back, requests) = all_lose_their_watches(seed, |who, age| backoffs[who].next_pause(age));
        assert!(back.is_some_and(|ms| ms < 25_000), "seed {seed}: {back:?} ms after {requests} requests");
        assert!(requests < 400, "seed {seed}: {requests} requests");
    }
    let fixed = all_lose_their_watches(1, |_, _| MAX_PAUSE_AFTER_SUCCESS);
    assert_eq!(fixed.0, None, "the model no longer shows what is guarded against");
}

#[test]
fn one_that_loses_a_watch_alone_requests_it_at_once() {
    let mut backoff = PollBackoff::new(7, true);
    for age in [Duration::ZERO, Duration::from_secs(2)] {
        assert!(backoff.next_pause(age) >= POLLING_FIRST_PAUSE / 10);
    }
    for _ in 0..100 {
        assert!(backoff.next_pause(MIN_WORKING_AGE) <= MAX_PAUSE_AFTER_SUCCESS);
    }
}

#[test]
fn pauses_stay_bounded_and_differ_by_seed() {
    let pauses = |seed| {
        let mut backoff = PollBackoff::new(seed, true);
        (0..1_000).map(|_| backoff.next_pause(Duration::ZERO)).collect::<Vec<_>>()
    };
    assert!(pauses(1).iter().all(|pause| *pause <= 2 * POLLING_MAX_PAUSE));
    assert_ne!(pauses(1), pauses(2));
}

/// What the agent has must be known 6 s after it had it and could be reached, though a watch has just fallen silent and a request
/// gets no response. The ticks of the clock are 0.25 s apart.
#[test]
fn a_silent_watch_and_a_failed_request_leave_time_to_be_notified() {
    for seed in 0..100 {
        let mut backoff = PollBackoff::new(seed, false);
        for failures in 0..20 {
            let tick = Duration::from_millis(250);
            let response_timeout = backoff.response_timeout();
            let spent = SILENCE_TIMEOUT
                + tick
                + backoff.next_pause(Duration::ZERO)
                + response_timeout
                + tick
                + backoff.next_pause(Duration::ZERO);
            assert!(
                spent < Duration::from_millis(5_900),
                "seed {seed}, after {failures} failures: {spent:?}"
            );
        }
    }
}
