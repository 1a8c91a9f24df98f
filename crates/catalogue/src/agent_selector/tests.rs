//! Query rate, index handling, failover, failback and backoff of the agent selector.

use super::*;

fn at_millis(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn selector(agent_count: usize) -> AgentSelector {
    let config = AgentSelectorConfig {
        agent_count,
        min_query_interval: Duration::from_millis(50),
        backoff: ExponentialBackoff { initial: Duration::from_millis(200), max: Duration::from_secs(5) },
        failback_after: Duration::from_secs(30),
        allow_stale: true,
    };
    AgentSelector::new(config, 7)
}

#[test]
fn polls_a_constantly_changing_list_at_a_bounded_rate() {
    let mut selector = selector(1);
    let (mut now, mut queries) = (at_millis(0), 0);
    while now < at_millis(10_000) {
        let query = selector.next_query(now);
        now = query.not_before + Duration::from_millis(1);
        queries += 1;
        assert_eq!(selector.handle_outcome(now, 0, &QueryOutcome::Response(queries)), Freshness::New);
    }
    assert!((190..=201).contains(&queries), "{queries} queries in 10 s");
}

#[test]
fn resets_the_index_when_it_decreases_or_is_zero_and_ignores_an_unchanged_index() {
    let mut selector = selector(1);
    assert_eq!(selector.handle_outcome(at_millis(0), 0, &QueryOutcome::Response(10)), Freshness::New);
    assert_eq!(selector.next_query(at_millis(0)).index, 10);
    assert_eq!(
        selector.handle_outcome(at_millis(0), 0, &QueryOutcome::Response(10)),
        Freshness::Unchanged,
        "the blocking query timed out"
    );
    assert_eq!(selector.handle_outcome(at_millis(0), 0, &QueryOutcome::Response(4)), Freshness::New);
    assert_eq!(selector.next_query(at_millis(0)).index, 0);
    assert_eq!(selector.handle_outcome(at_millis(0), 0, &QueryOutcome::Response(0)), Freshness::New);
    assert_eq!(selector.next_query(at_millis(0)).index, 0);
}

#[test]
fn fails_over_at_once_and_backs_off_with_jitter() {
    let mut selector = selector(2);
    selector.handle_outcome(at_millis(0), 0, &QueryOutcome::Response(10));
    selector.handle_outcome(at_millis(100), 0, &QueryOutcome::Failed);
    let query = selector.next_query(at_millis(100));
    assert_eq!((query.agent, query.index), (1, 0));
    assert!(query.not_before <= at_millis(150), "the other agent is queried without backoff");
    // Both agents fail: each query goes to the agent whose backoff ends first, at a decreasing rate.
    let (mut now, mut waits) = (at_millis(100), Vec::new());
    for _ in 0..20 {
        let query = selector.next_query(now);
        waits.push(query.not_before.saturating_since(now));
        now = query.not_before;
        selector.handle_outcome(now, query.agent, &QueryOutcome::Failed);
    }
    assert!(waits[19] >= Duration::from_millis(500), "{waits:?}");
    assert!(waits.iter().all(|&wait| wait <= Duration::from_secs(5)), "{waits:?}");
}

#[test]
fn fails_back_to_the_first_agent() {
    let mut selector = selector(3);
    selector.handle_outcome(at_millis(0), 0, &QueryOutcome::Failed);
    assert_eq!(selector.next_query(at_millis(0)).agent, 1);
    selector.handle_outcome(at_millis(0), 1, &QueryOutcome::Failed);
    assert_eq!(selector.next_query(at_millis(10)).agent, 2);
    selector.handle_outcome(at_millis(10), 2, &QueryOutcome::Response(5));
    assert_eq!(selector.next_query(at_millis(29_000)).agent, 2);
    let query = selector.next_query(at_millis(30_100));
    assert_eq!((query.agent, query.index), (0, 0));
    // The first agent is still unreachable: another one is queried for the next interval.
    selector.handle_outcome(at_millis(30_100), 0, &QueryOutcome::Failed);
    assert_ne!(selector.next_query(at_millis(30_100)).agent, 0);
}

#[test]
fn queries_the_leader_after_a_response_that_is_too_stale() {
    let mut selector = selector(1);
    assert!(selector.next_query(at_millis(0)).allow_stale);
    selector.handle_outcome(at_millis(0), 0, &QueryOutcome::TooStale);
    let query = selector.next_query(at_millis(0));
    assert!(!query.allow_stale && query.not_before >= at_millis(100));
    selector.handle_outcome(query.not_before, 0, &QueryOutcome::Response(3));
    assert!(selector.next_query(query.not_before).allow_stale);
}
