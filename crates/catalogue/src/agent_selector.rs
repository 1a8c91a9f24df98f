//! Which agent is queried next, and when: several agents in order, with failover and failback, by Consul's rules for blocking
//! queries.

use crate::Millis;

/// The next query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The agent's number, from 0.
    pub agent: usize,
    /// The index to block on; 0 returns the present list at once.
    pub index: u64,
    /// Any server may respond, not only the leader.
    pub allow_stale: bool,
    /// It must not be sent before this time.
    pub not_before: Millis,
}

/// How a query ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// A usable response, at this index (`X-Consul-Index`).
    Response(u64),
    /// The server has no leader, or has not heard from it for too long: the response is not used.
    TooStale,
    /// No usable response.
    Failed,
}

/// Whether a usable response says anything new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The list may have changed.
    New,
    /// The wait of a blocking query expired without a change, or there was no usable response.
    Unchanged,
}

/// Bounds of the pauses after failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollBackoff {
    /// After the first failure; doubles with each further one.
    pub initial: Millis,
    /// At most.
    pub max: Millis,
}

impl PollBackoff {
    /// The pause after this many failures in a row before the last, without jitter.
    fn after(self, earlier_failures: u32) -> Millis {
        const MAX_DOUBLINGS: u32 = 16;
        (self.initial << earlier_failures.min(MAX_DOUBLINGS)).min(self.max).max(1)
    }
}

/// How agents are selected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSelectorConfig {
    /// How many agents there are.
    pub agent_count: usize,
    /// The shortest time between two queries, also while the list changes all the time.
    pub min_query_interval: Millis,
    /// The pauses of an agent that fails.
    pub backoff: PollBackoff,
    /// After this long with another agent the first is tried again.
    pub failback_after: Millis,
    /// Queries may be answered by any server.
    pub allow_stale: bool,
}

/// The agents and how they have responded.
#[derive(Clone, Debug)]
pub struct AgentSelector {
    config: AgentSelectorConfig,
    agents: Vec<AgentState>,
    current: usize,
    index: u64,
    /// The next query must be answered by the leader.
    needs_leader: bool,
    last_query_at: Millis,
    selected_at: Millis,
    jitter: Jitter,
}

#[derive(Clone, Debug, Default)]
struct AgentState {
    consecutive_failures: u32,
    backoff_until: Millis,
}

impl AgentSelector {
    /// Starts with the first agent. `seed` spreads the pauses of several gatekeepers.
    pub fn new(config: AgentSelectorConfig, seed: u64) -> Self {
        Self {
            agents: vec![AgentState::default(); config.agent_count.max(1)],
            config,
            current: 0,
            index: 0,
            needs_leader: false,
            last_query_at: 0,
            selected_at: 0,
            jitter: Jitter(seed | 1),
        }
    }

    /// The agent that is in use.
    pub fn current(&self) -> usize {
        self.current
    }

    /// Decides the next query.
    pub fn next_query(&mut self, now: Millis) -> Query {
        if self.current > 0 && now >= self.selected_at + self.config.failback_after {
            // The agents in front are tried in order; one that fails is left alone for another interval.
            self.select(0, now);
        }
        if self.agents[self.current].backoff_until > now {
            self.fail_over(now);
        }
        let earliest = self.last_query_at + self.config.min_query_interval;
        let not_before = now.max(self.agents[self.current].backoff_until).max(earliest);
        self.last_query_at = not_before;
        Query {
            agent: self.current,
            index: self.index,
            allow_stale: self.config.allow_stale && !self.needs_leader,
            not_before,
        }
    }

    /// Selects the first agent in order that is not in backoff, or else the one whose backoff ends first.
    fn fail_over(&mut self, now: Millis) {
        let available_at = |&agent: &usize| (self.agents[agent].backoff_until.max(now), agent);
        let best = (0..self.agents.len()).min_by_key(available_at);
        if let Some(agent) = best.filter(|&agent| agent != self.current) {
            self.select(agent, now);
        }
    }

    /// Indexes of one agent mean nothing to another, which may lag behind: a switch starts with index 0.
    fn select(&mut self, agent: usize, now: Millis) {
        self.current = agent;
        self.index = 0;
        self.selected_at = now;
    }

    /// Records how a query ended, and returns whether its response is new.
    pub fn handle_outcome(&mut self, now: Millis, agent: usize, outcome: &QueryOutcome) -> Freshness {
        if agent >= self.agents.len() {
            return Freshness::Unchanged;
        }
        match outcome {
            QueryOutcome::Response(index) => self.handle_response(agent, *index),
            QueryOutcome::TooStale => {
                // The next query goes to the leader. Without one it fails, and the next agent is queried.
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
        // Consul's documentation asks for a fresh start where the index decreases or is not above 0.
        self.index = if index < self.index { 0 } else { index };
        self.needs_leader = false;
        if is_new { Freshness::New } else { Freshness::Unchanged }
    }

    fn back_off(&mut self, now: Millis, agent: usize) {
        self.index = 0;
        let state = &mut self.agents[agent];
        let pause = self.config.backoff.after(state.consecutive_failures);
        state.consecutive_failures += 1;
        state.backoff_until = now + pause / 2 + self.jitter.next() % (pause / 2 + 1);
    }

    /// Failures in a row of an agent.
    pub fn consecutive_failures(&self, agent: usize) -> u32 {
        self.agents.get(agent).map_or(0, |state| state.consecutive_failures)
    }
}

/// xorshift64 (Marsaglia, 2003). It only spreads pauses, and keeps this module free of outside state.
#[derive(Clone, Debug)]
struct Jitter(u64);

impl Jitter {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

#[cfg(test)]
mod tests;
