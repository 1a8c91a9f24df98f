//! Backoff of many gatekeepers in simulated time.

use super::*;
use std::collections::{BTreeSet, VecDeque};
use timestamps::MonotonicTime;

/// Time that the simulated discovery service takes for one request.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Timeout of a request, counted from its arrival in the queue. The discovery service also spends [`SERVICE_TIME`] on requests
/// that have timed out.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(1);
/// Time after which the simulation ends if a gatekeeper still has no watch.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(60);
/// Maximum number of requests in the discovery service's queue. Further requests are rejected at once.
const MAX_QUEUED_REQUESTS: usize = 90;
const GATEKEEPERS: usize = 100;

/// The result of a simulated recovery.
#[derive(Debug)]
struct Recovery {
    /// Time until the last gatekeeper had its watch again; `None` if a gatekeeper had no watch after [`MAX_RECOVERY_TIME`].
    time: Option<Duration>,
    /// Number of requests to the discovery service, including retries.
    request_count: usize,
}

/// Simulates a hundred gatekeepers whose watches end at the same moment, and a discovery service with a fixed service time.
/// `backoff` gets the index of a gatekeeper and the age at which its watch ended, and returns the gatekeeper's backoff.
fn simulate_recovery(seed: u64, mut backoff: impl FnMut(usize, Duration) -> Duration) -> Recovery {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut first_request_at = |gatekeeper| {
        let stagger = Duration::from_millis(random.u64(0..5));
        MonotonicTime::ZERO + backoff(gatekeeper, MIN_AGE_OF_WORKING_WATCH) + stagger
    };
    let mut due: BTreeSet<(MonotonicTime, usize)> =
        (0..GATEKEEPERS).map(|gatekeeper| (first_request_at(gatekeeper), gatekeeper)).collect();
    let (mut queue, mut recovered, mut request_count) = (VecDeque::new(), 0, 0);
    let (mut now, mut next_service_at) = (MonotonicTime::ZERO, MonotonicTime::ZERO);
    while now < MonotonicTime::ZERO + MAX_RECOVERY_TIME {
        while let Some(&(due_at, gatekeeper)) = due.first()
            && due_at <= now
        {
            due.pop_first();
            request_count += 1;
            if queue.len() < MAX_QUEUED_REQUESTS {
                queue.push_back((now, gatekeeper));
            } else {
                due.insert((now + STEP + backoff(gatekeeper, Duration::ZERO), gatekeeper));
            }
        }
        if now >= next_service_at
            && let Some((queued_at, gatekeeper)) = queue.pop_front()
        {
            next_service_at = now + SERVICE_TIME;
            if now.saturating_since(queued_at) <= REQUEST_TIMEOUT {
                recovered += 1;
                if recovered == GATEKEEPERS {
                    return Recovery { time: Some(now.saturating_since(MonotonicTime::ZERO)), request_count };
                }
            } else {
                let due_at = queued_at + REQUEST_TIMEOUT + backoff(gatekeeper, REQUEST_TIMEOUT);
                due.insert((due_at.max(now), gatekeeper));
            }
        }
        now = now + STEP;
    }
    Recovery { time: None, request_count }
}

/// Guards against a retry storm: with a fixed backoff of 200 ms, no request was served in time once all watches had ended at the
/// same moment.
#[test]
fn a_hundred_gatekeepers_that_lose_their_watches_together_recover_without_a_retry_storm() {
    for seed in 0..20 {
        let backoff = |gatekeeper| PollBackoff::new(seed << 8 | gatekeeper, AgentMode::Polling);
        let mut backoffs: Vec<PollBackoff> = (0..100).map(backoff).collect();
        let recovery = simulate_recovery(seed, |gatekeeper, age| backoffs[gatekeeper].next_backoff(age));
        assert!(
            recovery.time.is_some_and(|time| time < Duration::from_secs(25)),
            "seed {seed}: {recovery:?}"
        );
        assert!(recovery.request_count < 400, "seed {seed}: {recovery:?}");
    }
    let with_fixed_backoff = simulate_recovery(1, |_, _| MAX_BACKOFF_AFTER_SUCCESS);
    assert_eq!(
        with_fixed_backoff.time, None,
        "a fixed backoff no longer causes a retry storm in the simulation"
    );
}

#[test]
fn a_watch_that_worked_is_requested_again_almost_at_once() {
    let mut backoff = PollBackoff::new(7, AgentMode::Polling);
    for age in [Duration::ZERO, Duration::from_secs(2)] {
        assert!(backoff.next_backoff(age) >= INITIAL_MEAN_BACKOFF_POLLING_AGENT / 10);
    }
    for _ in 0..100 {
        assert!(backoff.next_backoff(MIN_AGE_OF_WORKING_WATCH) <= MAX_BACKOFF_AFTER_SUCCESS);
    }
}

#[test]
fn backoff_is_bounded_and_differs_by_seed() {
    let backoffs = |seed| {
        let mut backoff = PollBackoff::new(seed, AgentMode::Polling);
        (0..1_000).map(|_| backoff.next_backoff(Duration::ZERO)).collect::<Vec<_>>()
    };
    assert!(backoffs(1).iter().all(|backoff| *backoff <= 2 * MAX_MEAN_BACKOFF_POLLING_AGENT));
    assert_ne!(backoffs(1), backoffs(2));
}

/// A list must be received within 6 s after the agent has it and is reachable, even if a watch has just fallen silent and one
/// request gets no response. Clock ticks are 0.25 s apart.
#[test]
fn a_silent_watch_and_a_failed_request_stay_within_the_notification_bound() {
    for seed in 0..100 {
        let mut backoff = PollBackoff::new(seed, AgentMode::Notified);
        for failures in 0..20 {
            let tick = Duration::from_millis(250);
            let response_timeout = backoff.response_timeout();
            let elapsed = SILENCE_TIMEOUT
                + tick
                + backoff.next_backoff(Duration::ZERO)
                + response_timeout
                + tick
                + backoff.next_backoff(Duration::ZERO);
            assert!(
                elapsed < Duration::from_millis(5_900),
                "seed {seed}, after {failures} failures: {elapsed:?}"
            );
        }
    }
}
