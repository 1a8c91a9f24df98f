//! Backoff of many gatekeepers in simulated time.

use super::*;
use std::collections::{BTreeSet, VecDeque};

/// Service time of a request in the discovery service.
const SERVICE_TIME_MS: u64 = 60;
/// Time-out of a request. The service spends the service time on timed-out requests too.
const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Maximum length of the service's queue. Further requests are rejected at once.
const MAX_QUEUE: usize = 90;
const GATEKEEPERS: usize = 100;

/// The result of a simulated recovery.
#[derive(Debug)]
struct Recovery {
    /// When the last gatekeeper had its watch again; `None` if that took more than a minute.
    completed_ms: Option<u64>,
    /// Number of requests to the service.
    requests: usize,
}

/// Simulates a hundred gatekeepers whose watches end at the same moment, and a discovery service with a fixed service time.
/// `backoff` returns the backoff of a gatekeeper after a watch of this age.
fn simulate_recovery(seed: u64, mut backoff: impl FnMut(usize, Duration) -> Duration) -> Recovery {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut due: BTreeSet<(u64, usize)> = (0..GATEKEEPERS)
        .map(|gatekeeper| {
            (backoff(gatekeeper, MIN_WORKING_AGE).as_millis() as u64 + random.u64(0..5), gatekeeper)
        })
        .collect();
    let (mut queue, mut next_service_ms, mut recovered, mut requests) = (VecDeque::new(), 0, 0, 0);
    for now in 0..60_000 {
        while let Some(&(due_ms, gatekeeper)) = due.first()
            && due_ms <= now
        {
            due.pop_first();
            requests += 1;
            if queue.len() < MAX_QUEUE {
                queue.push_back((now, gatekeeper));
            } else {
                due.insert((now + 1 + backoff(gatekeeper, Duration::ZERO).as_millis() as u64, gatekeeper));
            }
        }
        if now >= next_service_ms
            && let Some((queued_at, gatekeeper)) = queue.pop_front()
        {
            next_service_ms = now + SERVICE_TIME_MS;
            if now - queued_at <= REQUEST_TIMEOUT_MS {
                recovered += 1;
                if recovered == GATEKEEPERS {
                    return Recovery { completed_ms: Some(now), requests };
                }
            } else {
                let age = Duration::from_millis(REQUEST_TIMEOUT_MS);
                let timed_out_ms = queued_at + REQUEST_TIMEOUT_MS;
                let due_ms = timed_out_ms + backoff(gatekeeper, age).as_millis() as u64;
                due.insert((due_ms.max(now), gatekeeper));
            }
        }
    }
    Recovery { completed_ms: None, requests }
}

/// With a fixed wait of 200 ms, no request was served in time any more after all watches had ended at once.
#[test]
fn a_hundred_gatekeepers_that_lose_their_watches_together_recover_without_a_retry_storm() {
    for seed in 0..20 {
        let backoff = |gatekeeper| PollBackoff::new(seed << 8 | gatekeeper, AgentMode::Polling);
        let mut backoffs: Vec<PollBackoff> = (0..100).map(backoff).collect();
        let recovery = simulate_recovery(seed, |gatekeeper, age| backoffs[gatekeeper].next_backoff(age));
        assert!(recovery.completed_ms.is_some_and(|ms| ms < 25_000), "seed {seed}: {recovery:?}");
        assert!(recovery.requests < 400, "seed {seed}: {recovery:?}");
    }
    let with_fixed_wait = simulate_recovery(1, |_, _| MAX_BACKOFF_AFTER_SUCCESS);
    assert_eq!(with_fixed_wait.completed_ms, None, "the simulation no longer shows a retry storm");
}

#[test]
fn a_watch_that_worked_is_requested_again_almost_at_once() {
    let mut backoff = PollBackoff::new(7, AgentMode::Polling);
    for age in [Duration::ZERO, Duration::from_secs(2)] {
        assert!(backoff.next_backoff(age) >= POLLING_INITIAL_BACKOFF / 10);
    }
    for _ in 0..100 {
        assert!(backoff.next_backoff(MIN_WORKING_AGE) <= MAX_BACKOFF_AFTER_SUCCESS);
    }
}

#[test]
fn backoff_is_bounded_and_differs_by_seed() {
    let backoffs = |seed| {
        let mut backoff = PollBackoff::new(seed, AgentMode::Polling);
        (0..1_000).map(|_| backoff.next_backoff(Duration::ZERO)).collect::<Vec<_>>()
    };
    assert!(backoffs(1).iter().all(|backoff| *backoff <= 2 * POLLING_MAX_BACKOFF));
    assert_ne!(backoffs(1), backoffs(2));
}

/// A list must be known 6 s after the agent has it and is reachable, even if a watch has just fallen silent and one request gets no
/// response. Clock ticks are 0.25 s apart.
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
