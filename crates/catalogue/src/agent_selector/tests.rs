//! Failover, failback and backoff of agents.

use super::*;

fn agents(count: usize) -> AgentSelector {
    let rules = AgentSelectorConfig {
        agent_count: count,
        min_query_interval: 50,
        backoff: PollBackoff { initial: 200, max: 5_000 },
        failback_after: 30_000,
        allow_stale: true,
    };
    AgentSelector::new(rules, 7)
}

#[test]
fn polls_a_constantly_changing_list_at_a_bounded_rate() {
    let mut agents = agents(1);
    let (mut now, mut queries) = (0, 0);
    while now < 10_000 {
        let query = agents.next_query(now);
        now = query.not_before + 1;
        queries += 1;
        assert_eq!(agents.handle_outcome(now, 0, &QueryOutcome::Response(queries)), Freshness::New);
    }
    assert!((190..=201).contains(&queries), "{queries}");
}

#[test]
fn starts_anew_when_the_index_decreases_or_is_zero_and_ignores_an_unchanged_index() {
    let mut agents = agents(1);
    assert_eq!(agents.handle_outcome(0, 0, &QueryOutcome::Response(10)), Freshness::New);
    assert_eq!(agents.next_query(0).index, 10);
    assert_eq!(
        agents.handle_outcome(0, 0, &QueryOutcome::Response(10)),
        Freshness::Unchanged,
        "the wait was over"
    );
    assert_eq!(agents.handle_outcome(0, 0, &QueryOutcome::Response(4)), Freshness::New);
    assert_eq!(agents.next_query(0).index, 0);
    assert_eq!(agents.handle_outcome(0, 0, &QueryOutcome::Response(0)), Freshness::New);
    assert_eq!(agents.next_query(0).index, 0);
}

#[test]
fn fails_over_at_once_and_backs_off_with_jitter() {
    let mut agents = agents(2);
    agents.handle_outcome(0, 0, &QueryOutcome::Response(10));
    agents.handle_outcome(100, 0, &QueryOutcome::Failed);
    let query = agents.next_query(100);
    assert_eq!((query.agent, query.index), (1, 0));
    assert!(query.not_before <= 150, "without a pause");
    // Both fail: whoever may be queries first is queries, ever less often.
    let (mut now, mut pauses) = (100, Vec::new());
    for _ in 0..20 {
        let query = agents.next_query(now);
        pauses.push(query.not_before - now);
        now = query.not_before;
        agents.handle_outcome(now, query.agent, &QueryOutcome::Failed);
    }
    assert!(pauses[19] >= 500 && pauses.iter().all(|&p| p <= 5_000), "{pauses:?}");
}

#[test]
fn fails_back_to_the_first_agent() {
    let mut agents = agents(3);
    agents.handle_outcome(0, 0, &QueryOutcome::Failed);
    assert_eq!(agents.next_query(0).agent, 1);
    agents.handle_outcome(0, 1, &QueryOutcome::Failed);
    assert_eq!(agents.next_query(10).agent, 2);
    agents.handle_outcome(10, 2, &QueryOutcome::Response(5));
    assert_eq!(agents.next_query(29_000).agent, 2);
    let query = agents.next_query(30_100);
    assert_eq!((query.agent, query.index), (0, 0));
    // It is still away: the others go on for another while.
    agents.handle_outcome(30_100, 0, &QueryOutcome::Failed);
    assert_ne!(agents.next_query(30_100).agent, 0);
}

#[test]
fn queries_the_leader_after_a_response_that_is_too_stale() {
    let mut agents = agents(1);
    assert!(agents.next_query(0).allow_stale);
    agents.handle_outcome(0, 0, &QueryOutcome::TooStale);
    let query = agents.next_query(0);
    assert!(!query.allow_stale && query.not_before >= 100);
    agents.handle_outcome(query.not_before, 0, &QueryOutcome::Response(3));
    assert!(agents.next_query(query.not_before).allow_stale);
}
