//! The poll loop of a watch: sends one blocking query after another, and passes the results to the watch.

use super::ServiceWatch;
use crate::QueryError;
use crate::health_client::{HealthClient, IndexedResponse};
use catalogue::{AgentSelector, AgentSelectorConfig, ExponentialBackoff, Freshness, Query, QueryOutcome};
use std::thread;
use std::time::Duration;

/// Minimum time between two queries, which bounds the query rate while the list changes constantly.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Backoff after consecutive failed queries of one agent.
const BACKOFF: ExponentialBackoff =
    ExponentialBackoff { initial: Duration::from_millis(250), max: Duration::from_secs(5) };
/// Time with a less preferred agent after which the first agent is queried again.
const FAILBACK_AFTER: Duration = Duration::from_secs(15);

/// Sends the blocking queries of one watch.
pub(super) struct PollLoop<'a> {
    watch: &'a ServiceWatch,
    agents: AgentSelector,
    client: HealthClient,
    /// Position of the agent that got the last query.
    last_agent: usize,
    /// Whether a query has failed and no agent has sent a valid response since.
    is_failing: bool,
}

impl<'a> PollLoop<'a> {
    pub(super) fn new(watch: &'a ServiceWatch) -> Self {
        let config = AgentSelectorConfig {
            agent_count: watch.consul_config.agents.len(),
            min_query_interval: MIN_QUERY_INTERVAL,
            backoff: BACKOFF,
            failback_after: FAILBACK_AFTER,
            allow_stale: watch.consul_config.max_staleness.is_some(),
        };
        Self {
            watch,
            agents: AgentSelector::new(config, rand::random()),
            client: HealthClient::new(&watch.consul_config),
            last_agent: 0,
            is_failing: false,
        }
    }

    /// Sends queries until the process ends.
    pub(super) fn run(&mut self) {
        loop {
            self.poll();
        }
    }

    fn poll(&mut self) {
        let now = self.watch.last_answers.now();
        let query = self.agents.next_query(now);
        if query.agent != self.last_agent {
            self.watch.log_agent_selected(query.agent);
            self.last_agent = query.agent;
        }
        thread::sleep(query.not_before.saturating_since(now));
        match self.client.query_health(&self.watch.config, &query) {
            Ok(response) => self.handle_response(&query, response),
            Err(error) => self.handle_error(&query, &error),
        }
    }

    fn handle_response(&mut self, query: &Query, response: IndexedResponse) {
        let freshness = self.handle_outcome(query, &QueryOutcome::Response(response.index));
        if std::mem::take(&mut self.is_failing) {
            self.watch.log_agent_recovered(query.agent);
        }
        let new_body = (freshness == Freshness::New).then_some(response.body);
        self.watch.handle_response(query.agent, new_body);
    }

    fn handle_error(&mut self, query: &Query, error: &QueryError) {
        if error.is_stale() {
            self.handle_outcome(query, &QueryOutcome::TooStale);
            self.watch.log_stale_response(error);
            return;
        }
        self.handle_outcome(query, &QueryOutcome::Failed);
        if self.agents.consecutive_failures(query.agent) == 1 {
            self.watch.log_agent_failed(query.agent, error);
        }
        self.is_failing = true;
    }

    fn handle_outcome(&mut self, query: &Query, outcome: &QueryOutcome) -> Freshness {
        self.agents.handle_outcome(self.watch.last_answers.now(), query.agent, outcome)
    }
}
