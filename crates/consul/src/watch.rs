//! The watch on one service.

mod log;
mod status;

use crate::health_client::{HealthClient, IndexedResponse};
use crate::sync::locked;
use crate::{CacheFile, ConsulConfig, LastAnswers, QueryError, WatchConfig};
use catalogue::{
    AgentSelector, AgentSelectorConfig, EndpointList, EndpointNumber, EndpointTracker, Freshness,
    HealthResponse, Instance, InvalidInstance, Millis, PollBackoff, Query, QueryOutcome, WatchEvent,
};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub use status::{EndpointStatus, WatchStatus};

/// The shortest time between two queries, also while the list changes all the time.
const MIN_QUERY_INTERVAL: Millis = 50;
const BACKOFF: PollBackoff = PollBackoff { initial: 250, max: 5_000 };
/// The first agent is tried again after this.
const FAILBACK_AFTER: Millis = 15_000;
/// Numbers that each service has to itself.
pub const NUMBERS_PER_SERVICE: u32 = 1 << 26;

/// Called with every list that differs from the one before.
pub type OnListChange = Box<dyn Fn(&EndpointList) + Send + Sync>;
/// Whether any attempt is in flight at an endpoint.
pub type HasAttempts = Box<dyn Fn(EndpointNumber) -> bool + Send + Sync>;

/// The watch on one service.
pub struct ServiceWatch {
    config: WatchConfig,
    consul: ConsulConfig,
    last_answers: Arc<LastAnswers>,
    cache: Option<Arc<CacheFile>>,
    state: Mutex<State>,
    on_list_change: OnListChange,
    has_attempts: HasAttempts,
}

struct State {
    tracker: EndpointTracker,
    list: EndpointList,
    invalid: Vec<InvalidInstance>,
    /// Where the list comes from, for the console.
    origin: String,
    last_response: Option<Instant>,
}

impl ServiceWatch {
    /// A watch that knows nothing yet, or what the cache file holds. In that case `on_list_change` is called before this returns.
    pub fn new(
        consul: ConsulConfig,
        config: WatchConfig,
        last_answers: Arc<LastAnswers>,
        cache: Option<Arc<CacheFile>>,
        on_list_change: OnListChange,
        has_attempts: HasAttempts,
    ) -> Arc<Self> {
        let state = Mutex::new(State {
            tracker: EndpointTracker::new(config.stability.clone(), config.last_number),
            list: EndpointList::default(),
            invalid: Vec::new(),
            origin: "no list yet".into(),
            last_response: None,
        });
        let watch = Self { config, consul, last_answers, cache, state, on_list_change, has_attempts };
        watch.restore_cached();
        Arc::new(watch)
    }

    fn restore_cached(&self) {
        let service = &self.config.service;
        let Some(cached) = self.cache.as_ref().and_then(|cache| cache.cached(service)) else { return };
        let (instances, age) = (cached.instances, cached.age_seconds);
        let count = instances.len();
        tracing::info!(service, count, age_seconds = age, "cached endpoint list in use until Consul answers");
        let mut state = locked(&self.state);
        state.origin = format!("the list on disk, {age} s old at the start");
        let mut events = Vec::new();
        let list = state.tracker.restore(self.last_answers.now(), instances, &mut events);
        self.publish(&mut state, list, &events);
    }

    /// Polls as long as the process lives, on a thread of its own.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let watch = self.clone();
        thread::Builder::new().name("consul".into()).spawn(move || watch.run()).map(|_| ())
    }

    fn run(&self) {
        let config = AgentSelectorConfig {
            agent_count: self.consul.agents.len(),
            min_query_interval: MIN_QUERY_INTERVAL,
            backoff: BACKOFF,
            failback_after: FAILBACK_AFTER,
            allow_stale: self.consul.max_stale_ms.is_some(),
        };
        let mut agents = AgentSelector::new(config, rand::random());
        let client = HealthClient::new(&self.consul);
        let (mut last_agent, mut is_failing) = (0, false);
        loop {
            let now = self.last_answers.now();
            let query = agents.next_query(now);
            if query.agent != last_agent {
                self.log_agent_selected(query.agent);
                last_agent = query.agent;
            }
            thread::sleep(Duration::from_millis(query.not_before.saturating_sub(now)));
            let result = client.health(&self.config, &query);
            self.handle_result(&mut agents, &query, result, &mut is_failing);
        }
    }

    fn handle_result(
        &self,
        agents: &mut AgentSelector,
        query: &Query,
        result: Result<IndexedResponse, QueryError>,
        is_failing: &mut bool,
    ) {
        let now = self.last_answers.now();
        match result {
            Ok(response) => {
                let outcome = QueryOutcome::Response(response.index);
                let freshness = agents.handle_outcome(now, query.agent, &outcome);
                if std::mem::take(is_failing) {
                    self.log_agent_recovered(query.agent);
                }
                self.handle_response(query.agent, (freshness == Freshness::New).then_some(response.body));
            }
            Err(error) if error.is_stale() => {
                agents.handle_outcome(now, query.agent, &QueryOutcome::TooStale);
                self.log_stale_response(&error);
            }
            Err(error) => {
                agents.handle_outcome(now, query.agent, &QueryOutcome::Failed);
                if agents.consecutive_failures(query.agent) == 1 {
                    self.log_agent_failed(query.agent, &error);
                }
                *is_failing = true;
            }
        }
    }

    /// An agent has responded; with a body where that is new.
    fn handle_response(&self, agent: usize, body: Option<HealthResponse>) {
        let mut state = locked(&self.state);
        state.last_response = Some(Instant::now());
        state.origin = format!("agent {}", self.consul.agents[agent]);
        if let Some(response) = body {
            self.apply(&mut state, response);
        }
        if let Some(cache) = &self.cache {
            let eligible = state.list.endpoints.iter().filter(|endpoint| endpoint.eligible);
            let instances: Vec<Instance> = eligible.map(|endpoint| endpoint.instance.clone()).collect();
            drop(state);
            cache.store(&self.config.service, instances);
        }
    }

    fn apply(&self, state: &mut State, response: HealthResponse) {
        if response.invalid != state.invalid {
            self.log_invalid(&response.invalid);
            state.invalid = response.invalid;
        }
        let mut events = Vec::new();
        let now = self.last_answers.now();
        let last_answer_at = |endpoint| self.last_answers.of(endpoint);
        let list = state.tracker.apply_response(now, response.instances, &last_answer_at, &mut events);
        self.publish(state, list, &events);
    }

    /// Applies the passing of time: call it twice a second or so.
    pub fn advance(&self) {
        let mut state = locked(&self.state);
        let now = self.last_answers.now();
        let mut events = Vec::new();
        let list = state.tracker.advance(now, &*self.has_attempts, &mut events);
        self.publish(&mut state, list, &events);
    }

    /// Publishes a list that has changed, and logs events. The lock is held meanwhile, so that lists are published in order.
    fn publish(&self, state: &mut State, list: EndpointList, events: &[WatchEvent]) {
        // The list first: whoever reads the log may act on it.
        if list != state.list {
            state.list = list;
            (self.on_list_change)(&state.list);
            self.forget_last_answers(&state.list);
        }
        self.log_events(events);
    }

    /// Forgets the last answers of this service's endpoints that have left the list.
    fn forget_last_answers(&self, list: &EndpointList) {
        let listed: HashSet<EndpointNumber> = list.endpoints.iter().map(|endpoint| endpoint.number).collect();
        let last_number = self.config.last_number;
        let is_own = |endpoint: EndpointNumber| {
            endpoint.0 > last_number && endpoint.0 - last_number <= NUMBERS_PER_SERVICE
        };
        self.last_answers.retain(|endpoint| !is_own(endpoint) || listed.contains(&endpoint));
    }

    /// The service's name.
    pub fn service(&self) -> &str {
        &self.config.service
    }
}
