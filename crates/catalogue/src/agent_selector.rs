//! Selects the Consul agent for the next blocking query: agents in order of preference, with failover, failback, and exponential
//! backoff with jitter. The index is handled by Consul's documented rules for blocking queries.

use crate::ExponentialBackoff;
use std::time::Duration;
use timestamps::{MonotonicTime, whole_millis};

/// The blocking query to send next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Position of the agent in the configured order.
    pub agent: usize,
    /// The index to block on: the agent holds the query until the list changes or the wait ends. With index 0 the agent responds
    /// at once.
    pub index: u64,
    /// Whether the agent may answer from any server (a stale read) or only from the leader.
    pub allow_stale: bool,
    /// Earliest time to send the query.
    pub not_before: MonotonicTime,
}

/// The outcome of a blocking query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// A valid response with this index (`X-Consul-Index`).
    Response(u64),
    /// A response that is not used because the servers have no leader, or the responding server last heard from the
    /// leader too long ago.
    TooStale,
    /// No response, an error status, or an invalid body.
    Failed,
}

/// Whether the list in a response may differ from that in the previous response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The index has changed, so the list may have changed.
    New,
    /// The index is unchanged because the blocking query timed out at the agent, or there was no usable response.
    Unchanged,
}

/// Query rate, backoff and failback of an [`AgentSelector`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSelectorConfig {
    /// Number of configured agents; at least 1.
    pub agent_count: usize,
    /// Minimum time between two queries, which bounds the query rate while the list changes constantly.
    pub min_query_interval: Duration,
    /// Backoff after consecutive failed queries of one agent, before jitter.
    pub backoff: ExponentialBackoff,
    /// Time with a less preferred agent after which the first agent is queried again.
    pub failback_after: Duration,
    /// Whether queries may be stale reads, which any server may answer.
    pub allow_stale: bool,
}

/// Selects the agent for each query from the outcomes of earlier queries.
#[derive(Clone, Debug)]
pub struct AgentSelector {
    config: AgentSelectorConfig,
    agents: Vec<AgentState>,
    current_agent: usize,
    index: u64,
    /// Whether the next query must be answered by the leader.
    needs_leader: bool,
    last_query_at: MonotonicTime,
    selected_at: MonotonicTime,
    jitter: Jitter,
}

#[derive(Clone, Debug, Default)]
struct AgentState {
    consecutive_failures: u32,
    backoff_until: MonotonicTime,
}

impl AgentSelector {
    /// Starts with the first agent. `seed` determines the jitter; gatekeepers with different seeds do not poll in step.
    pub fn new(config: AgentSelectorConfig, seed: u64) -> Self {
        Self {
            agents: vec![AgentState::default(); config.agent_count.max(1)],
            config,
            current_agent: 0,
            index: 0,
            needs_leader: false,
            last_query_at: MonotonicTime::ZERO,
            selected_at: MonotonicTime::ZERO,
            jitter: Jitter(seed | 1),
        }
    }

    /// Position of the selected agent in the configured order.
    pub fn current(&self) -> usize {
        self.current_agent
    }

    /// Selects the agent, and returns the query to send to it no earlier than [`Query::not_before`].
    pub fn next_query(&mut self, now: MonotonicTime) -> Query {
        if self.current_agent > 0 && now >= self.selected_at + self.config.failback_after {
            // Failback: the first agent is queried again. If the query fails, another agent is selected for the next interval.
            self.select(0, now);
        }
        if self.agents[self.current_agent].backoff_until > now {
            self.fail_over(now);
        }
        let earliest = self.last_query_at + self.config.min_query_interval;
        let not_before = now.max(self.agents[self.current_agent].backoff_until).max(earliest);
        self.last_query_at = not_before;
        Query {
            agent: self.current_agent,
            index: self.index,
            allow_stale: self.config.allow_stale && !self.needs_leader,
            not_before,
        }
    }

    /// Selects the first agent that is not in backoff. If all agents are in backoff, selects the agent whose backoff ends
    /// first.
    fn fail_over(&mut self, now: MonotonicTime) {
        let available_at = |&agent: &usize| (self.agents[agent].backoff_until.max(now), agent);
        let best = (0..self.agents.len()).min_by_key(available_at);
        if let Some(agent) = best.filter(|&agent| agent != self.current_agent) {
            self.select(agent, now);
        }
    }

    /// Selects an agent, and resets the index to 0, because an index is only meaningful to the server that returned it.
    fn select(&mut self, agent: usize, now: MonotonicTime) {
        self.current_agent = agent;
        self.index = 0;
        self.selected_at = now;
    }

    /// Records the outcome of a query to an agent, and returns whether the list may have changed.
    pub fn handle_outcome(&mut self, now: MonotonicTime, agent: usize, outcome: &QueryOutcome) -> Freshness {
        if agent >= self.agents.len() {
            return Freshness::Unchanged;
        }
        match outcome {
            QueryOutcome::Response(index) => self.handle_response(agent, *index),
            QueryOutcome::TooStale => {
                // The leader must answer the next query. If there is no leader, the query fails, and another agent is selected.
                self.needs_leader = true;
                self.back_off(now, agent);
                Freshness::Unchanged
            }
            QueryOutcome::Failed => {
                self.back_off(now, agent);
                Freshness::Unchanged
            }
        }
    }

    fn handle_response(&mut self, agent: usize, index: u64) -> Freshness {
        self.agents[agent] = AgentState::default();
        let is_new = index != self.index || self.index == 0;
        // Consul's documentation requires clients to reset the index to 0 when the index decreases or is not positive.
        self.index = if index < self.index { 0 } else { index };
        self.needs_leader = false;
        if is_new { Freshness::New } else { Freshness::Unchanged }
    }

    fn back_off(&mut self, now: MonotonicTime, agent: usize) {
        self.index = 0;
        let state = &mut self.agents[agent];
        let backoff = self.config.backoff.after(state.consecutive_failures);
        state.consecutive_failures += 1;
        state.backoff_until = now + self.jitter.apply(backoff);
    }

    /// Number of consecutive failed queries of an agent; 0 for an unknown agent.
    pub fn consecutive_failures(&self, agent: usize) -> u32 {
        self.agents.get(agent).map_or(0, |state| state.consecutive_failures)
    }
}

/// Jitter from an xorshift64 generator (Marsaglia, 2003). A local generator keeps the selector deterministic for a given seed.
#[derive(Clone, Debug)]
struct Jitter(u64);

impl Jitter {
    /// Returns a random duration from half of `backoff` to the whole of `backoff` ("equal jitter").
    fn apply(&mut self, backoff: Duration) -> Duration {
        let half = whole_millis(backoff) / 2;
        Duration::from_millis(half + self.next_random() % (half + 1))
    }

    fn next_random(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

#[cfg(test)]
mod tests;
