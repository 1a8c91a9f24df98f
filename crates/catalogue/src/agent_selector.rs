//! Whom to ask, and when: several agents in order, with fail-over and return, by Consul's rules for blocking queries.

/// What is asked of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The agent's number.
    pub agent: usize,
    /// The index to block on; 0 asks for the list as it is.
    pub index: u64,
    /// May be answered by a server that is not the leader.
    pub allow_stale: bool,
    /// Not before this, in milliseconds.
    pub not_before: u64,
}

/// What came of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// An answer that can be used, at this index (`X-Consul-Index`).
    Response(u64),
    /// An answer from a server that has no leader, or has not heard of it for too long: no news.
    TooStale,
    /// No answer that can be used.
    Failed,
}

/// Bounds and spans, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSelectorConfig {
    /// How many agents there are.
    pub agent_count: usize,
    /// Between two queries at the least, also when the list changes all the time.
    pub min_query_interval: u64,
    /// After a failure; doubles up to the second.
    pub backoff: (u64, u64),
    /// While another agent than the first is asked, the first is tried again after this.
    pub failback_after: u64,
    /// Stale answers are wanted.
    pub allow_stale: bool,
}

/// The agents and how they have answered.
#[derive(Clone, Debug)]
pub struct AgentSelector {
    rules: AgentSelectorConfig,
    state: Vec<Agent>,
    current: usize,
    index: u64,
    /// The next query must be answered by the leader.
    fresh: bool,
    asked: u64,
    moved: u64,
    random: u64,
}

#[derive(Clone, Debug, Default)]
struct Agent {
    failures: u32,
    /// Not to be asked before this.
    until: u64,
}

impl AgentSelector {
    /// All agents thought well; `seed` spreads the pauses of several gatekeepers.
    pub fn new(rules: AgentSelectorConfig, seed: u64) -> Self {
        let state = vec![Agent::default(); rules.agent_count.max(1)];
        Self { rules, state, current: 0, index: 0, fresh: false, asked: 0, moved: 0, random: seed | 1 }
    }

    /// Which agent is asked now.
    pub fn current(&self) -> usize {
        self.current
    }

    /// The next query. Blocking queries of one agent mean nothing to another, which may lag: a move starts with index 0.
    pub fn next_query(&mut self, now: u64) -> Query {
        let preferred_is_due = self.current > 0 && now >= self.moved + self.rules.failback_after;
        if preferred_is_due {
            // AgentSelector in front are tried in order; whichever of them fails is left for another while.
            self.go_to(0, now);
        }
        if self.state[self.current].until > now {
            // The one in order that may be asked, or else the one that may be asked first.
            let order = (0..self.state.len()).min_by_key(|&i| (self.state[i].until.max(now), i));
            if let Some(agent) = order.filter(|&a| a != self.current) {
                self.go_to(agent, now);
            }
        }
        let at = now.max(self.state[self.current].until).max(self.asked + self.rules.min_query_interval);
        self.asked = at;
        Query {
            agent: self.current,
            index: self.index,
            allow_stale: self.rules.allow_stale && !self.fresh,
            not_before: at,
        }
    }

    fn go_to(&mut self, agent: usize, now: u64) {
        (self.current, self.index, self.moved) = (agent, 0, now);
    }

    /// Takes in what came of the query. Tells whether an answer is news, which one that repeats its index is not.
    pub fn handle_outcome(&mut self, now: u64, agent: usize, told: &QueryOutcome) -> bool {
        let Some(state) = self.state.get_mut(agent) else { return false };
        match told {
            QueryOutcome::Response(index) => {
                (state.failures, state.until) = (0, 0);
                let news = *index != self.index || self.index == 0;
                // The documentation asks for a fresh start where the index went back or is not above 0.
                self.index = if *index < self.index || *index == 0 { 0 } else { *index };
                self.fresh = false;
                news
            }
            QueryOutcome::TooStale => {
                // Once more, and this time from the leader; without one that fails, and the next agent is asked.
                self.fresh = true;
                self.index = 0;
                self.pause(now, agent);
                false
            }
            QueryOutcome::Failed => {
                self.index = 0;
                self.pause(now, agent);
                false
            }
        }
    }

    fn pause(&mut self, now: u64, agent: usize) {
        // xorshift64 (Marsaglia, 2003): only spreads pauses, and keeps this module free of outside state.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let (first, longest) = self.rules.backoff;
        let state = &mut self.state[agent];
        let span = (first << state.failures.min(16)).min(longest).max(1);
        state.failures += 1;
        state.until = now + span / 2 + self.random % (span / 2 + 1);
    }

    /// Failures in a row of an agent.
    pub fn failures(&self, agent: usize) -> u32 {
        self.state.get(agent).map_or(0, |a| a.failures)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn agents(count: usize) -> AgentSelector {
        let rules = AgentSelectorConfig {
            agent_count: count,
            min_query_interval: 50,
            backoff: (200, 5_000),
            failback_after: 30_000,
            allow_stale: true,
        };
        AgentSelector::new(rules, 7)
    }

    #[test]
    fn a_list_that_changes_all_the_time_is_asked_for_at_a_bounded_rate() {
        let mut agents = agents(1);
        let (mut now, mut asked) = (0, 0);
        while now < 10_000 {
            let ask = agents.next_query(now);
            now = ask.not_before + 1;
            asked += 1;
            assert!(agents.handle_outcome(now, 0, &QueryOutcome::Response(asked)));
        }
        assert!((190..=201).contains(&asked), "{asked}");
    }

    #[test]
    fn an_index_that_goes_back_or_to_zero_starts_anew_and_one_that_stays_is_no_news() {
        let mut agents = agents(1);
        assert!(agents.handle_outcome(0, 0, &QueryOutcome::Response(10)));
        assert_eq!(agents.next_query(0).index, 10);
        assert!(!agents.handle_outcome(0, 0, &QueryOutcome::Response(10)), "the wait was over");
        assert!(agents.handle_outcome(0, 0, &QueryOutcome::Response(4)));
        assert_eq!(agents.next_query(0).index, 0);
        assert!(agents.handle_outcome(0, 0, &QueryOutcome::Response(0)));
        assert_eq!(agents.next_query(0).index, 0);
    }

    #[test]
    fn failures_move_on_at_once_and_pauses_grow_with_jitter() {
        let mut agents = agents(2);
        agents.handle_outcome(0, 0, &QueryOutcome::Response(10));
        agents.handle_outcome(100, 0, &QueryOutcome::Failed);
        let ask = agents.next_query(100);
        assert_eq!((ask.agent, ask.index), (1, 0));
        assert!(ask.not_before <= 150, "without a pause");
        // Both fail: whoever may be asked first is asked, ever less often.
        let (mut now, mut pauses) = (100, Vec::new());
        for _ in 0..20 {
            let ask = agents.next_query(now);
            pauses.push(ask.not_before - now);
            now = ask.not_before;
            agents.handle_outcome(now, ask.agent, &QueryOutcome::Failed);
        }
        assert!(pauses[19] >= 500 && pauses.iter().all(|&p| p <= 5_000), "{pauses:?}");
    }

    #[test]
    fn the_first_agent_is_returned_to() {
        let mut agents = agents(3);
        agents.handle_outcome(0, 0, &QueryOutcome::Failed);
        assert_eq!(agents.next_query(0).agent, 1);
        agents.handle_outcome(0, 1, &QueryOutcome::Failed);
        assert_eq!(agents.next_query(10).agent, 2);
        agents.handle_outcome(10, 2, &QueryOutcome::Response(5));
        assert_eq!(agents.next_query(29_000).agent, 2);
        let ask = agents.next_query(30_100);
        assert_eq!((ask.agent, ask.index), (0, 0));
        // It is still away: the others go on for another while.
        agents.handle_outcome(30_100, 0, &QueryOutcome::Failed);
        assert_ne!(agents.next_query(30_100).agent, 0);
    }

    #[test]
    fn an_answer_that_is_too_stale_is_asked_of_the_leader() {
        let mut agents = agents(1);
        assert!(agents.next_query(0).allow_stale);
        agents.handle_outcome(0, 0, &QueryOutcome::TooStale);
        let ask = agents.next_query(0);
        assert!(!ask.allow_stale && ask.not_before >= 100);
        agents.handle_outcome(ask.not_before, 0, &QueryOutcome::Response(3));
        assert!(agents.next_query(ask.not_before).allow_stale);
    }
}
