//! The watch on one service: polls Consul, keeps the service's endpoint list up to date, and publishes each change.

mod log;
mod poll_loop;
mod status;

use crate::sync::locked;
use crate::{CacheFile, CachedInstances, ConsulConfig, LastAnswers, WatchConfig};
use catalogue::{
    EndpointList, EndpointNumber, EndpointTracker, HealthResponse, Instance, InvalidInstance, WatchEvent,
};
use poll_loop::PollLoop;
use status::ListOrigin;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

pub use status::{EndpointStatus, WatchStatus};

/// Size of the range of endpoint numbers that is reserved for each service, so that numbers differ between services.
pub const NUMBERS_PER_SERVICE: u32 = 1 << 26;

/// Called with each list that differs from the previous one, while the watch is locked.
pub type OnListChange = Box<dyn Fn(&EndpointList) + Send + Sync>;
/// Returns whether an endpoint has attempts in flight.
pub type HasAttempts = Box<dyn Fn(EndpointNumber) -> bool + Send + Sync>;

/// A watch on one service, with its current endpoint list. Shared between its poll thread and the caller.
pub struct ServiceWatch {
    config: WatchConfig,
    consul_config: ConsulConfig,
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
    origin: ListOrigin,
    last_response: Option<Instant>,
}

impl ServiceWatch {
    /// Creates a watch. If there is a cached list, the watch starts with it, and `on_list_change` gets the list before `new`
    /// returns.
    pub fn new(
        consul_config: ConsulConfig,
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
            origin: ListOrigin::NoList,
            last_response: None,
        });
        let watch = Self { config, consul_config, last_answers, cache, state, on_list_change, has_attempts };
        watch.restore_cached();
        Arc::new(watch)
    }

    fn restore_cached(&self) {
        let service = &self.config.service;
        let Some(cached) = self.cache.as_ref().and_then(|cache| cache.cached(service)) else { return };
        let CachedInstances { instances, age } = cached;
        let (count, age_seconds) = (instances.len(), age.as_secs());
        tracing::info!(service, count, age_seconds, "cached endpoint list in use until Consul answers");
        let mut state = locked(&self.state);
        state.origin = ListOrigin::CacheFile { age };
        let mut events = Vec::new();
        let list = state.tracker.restore(self.last_answers.now(), instances, &mut events);
        self.publish(&mut state, list, &events);
    }

    /// Starts the thread that polls Consul until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let watch = self.clone();
        thread::Builder::new().name("consul".into()).spawn(move || PollLoop::new(&watch).run()).map(|_| ())
    }

    /// Applies a response of an agent, and stores the confirmed list in the cache file. `new_body` is `None` if the index has not
    /// changed.
    fn handle_response(&self, agent: usize, new_body: Option<HealthResponse>) {
        let mut state = locked(&self.state);
        state.last_response = Some(Instant::now());
        state.origin = ListOrigin::Agent(self.consul_config.agents[agent]);
        if let Some(response) = new_body {
            self.apply(&mut state, response);
        }
        if let Some(cache) = &self.cache {
            let eligible = state.list.eligible();
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
        let last_answer_at = |endpoint| self.last_answers.last_answer_at(endpoint);
        let list = state.tracker.apply_response(now, response.instances, &last_answer_at, &mut events);
        self.publish(state, list, &events);
    }

    /// Ends the flap suppressions and retentions that have expired. The caller calls `advance` about twice a second.
    pub fn advance(&self) {
        let mut state = locked(&self.state);
        let now = self.last_answers.now();
        let mut events = Vec::new();
        let list = state.tracker.advance(now, &*self.has_attempts, &mut events);
        self.publish(&mut state, list, &events);
    }

    /// Publishes the list if it has changed, and logs events. The caller holds the lock, so that lists are published in order.
    fn publish(&self, state: &mut State, list: EndpointList, events: &[WatchEvent]) {
        // The list is published before the log is written, because an operator or a script may act on the log line.
        if list != state.list {
            state.list = list;
            (self.on_list_change)(&state.list);
            self.forget_last_answers(&state.list);
        }
        self.log_events(events);
    }

    /// Removes the times of last answers of this service's endpoints that are no longer in the list.
    fn forget_last_answers(&self, list: &EndpointList) {
        let listed: HashSet<EndpointNumber> = list.endpoints.iter().map(|endpoint| endpoint.number).collect();
        let last_number = self.config.last_number;
        let is_own = |endpoint: EndpointNumber| {
            endpoint.0 > last_number && endpoint.0 - last_number <= NUMBERS_PER_SERVICE
        };
        self.last_answers.retain(|endpoint| !is_own(endpoint) || listed.contains(&endpoint));
    }

    /// Name of the watched service in Consul.
    pub fn service(&self) -> &str {
        &self.config.service
    }
}
