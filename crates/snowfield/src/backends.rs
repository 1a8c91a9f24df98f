//! The appliance's backends: merges the endpoint lists of all services with the results of health checks, and passes
//! the result to the connection pools and the policy.

use catalogue::{Endpoint, EndpointList, EndpointNumber};
use cluster::Backend;
use consul::{ServiceWatch, WatchStatus};
use destination::{BackendEndpoint, BackendPools, HttpProtocol};
use exchange::{AnswerCounts, Clock, Status};
use front_openapi::HttpExchange;
use link::lock_or_abort;
use policy::{BackendEntry, BackendId, BackendState, ListKind, Timestamp};
use settings::appliance::ApplianceConfig;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt::Write;
use std::sync::{Arc, Mutex, OnceLock};
use timestamps::MonotonicTime;

/// Limit on the backends that the status lists for each service.
const MAX_REPORTED_BACKENDS: usize = 200;

/// Called with the backends of all services, which health checks probe, after each change of an endpoint list.
pub type OnBackendsChange = Box<dyn Fn(Vec<Backend>) + Send + Sync>;

/// Merges the endpoint lists and the results of health checks, and passes the state of
/// each backend to the connection pools and the policy.
pub struct Backends {
    clock: Clock,
    exchange: Arc<HttpExchange>,
    pools: Arc<BackendPools<HttpProtocol>>,
    state: Mutex<State>,
    /// Held while a list is passed on, so that `on_backends_change` gets the backends of the last lists last. This is not the lock
    /// of `state`: the cluster's thread takes that one, and passing the backends waits for that thread while its queue is full.
    list_order: Mutex<()>,
    on_backends_change: OnceLock<OnBackendsChange>,
    watches: OnceLock<Vec<Arc<ServiceWatch>>>,
    /// Numbers of the backends with attempts in flight, as of the last sweep.
    busy_backends: Arc<Mutex<HashSet<u32>>>,
    /// Names of the services. With more than one service, a backend's name includes that of its service.
    services: Vec<String>,
}

#[derive(Default)]
struct State {
    /// The endpoint list of each service; `None` until the first list of the service arrives.
    lists: Vec<Option<EndpointList>>,
    /// Names of the backends that health checks have ejected.
    ejected: BTreeSet<String>,
    /// The state of each backend as last passed to the pools and the policy. A change from this state to the next one shows
    /// whether a backend has restarted or recovered.
    published_states: HashMap<EndpointNumber, PublishedState>,
}

/// The state of one backend, as it was last passed to the pools and the policy.
#[derive(Clone, Copy)]
struct PublishedState {
    ready: bool,
    /// Time at which the backend became eligible according to the endpoint list. Changes with each restart of the backend.
    eligible_since: Option<MonotonicTime>,
    /// Time at which the backend started. Its slow start begins at this time.
    started: Timestamp,
}

impl Backends {
    /// Creates the backends of the services in this configuration, without any endpoint list yet.
    pub fn new(
        clock: Clock,
        exchange: Arc<HttpExchange>,
        pools: Arc<BackendPools<HttpProtocol>>,
        config: &ApplianceConfig,
    ) -> Self {
        let services: Vec<String> = config.service_names().into_iter().map(str::to_owned).collect();
        let state = State { lists: services.iter().map(|_| None).collect(), ..State::default() };
        Self {
            clock,
            exchange,
            pools,
            state: Mutex::new(state),
            list_order: Mutex::default(),
            on_backends_change: OnceLock::new(),
            watches: OnceLock::new(),
            busy_backends: Arc::default(),
            services,
        }
    }

    /// Sets the callback that passes the backends to the health checks. Only the first call has an effect.
    pub fn set_on_backends_change(&self, on_backends_change: OnBackendsChange) {
        let _ = self.on_backends_change.set(on_backends_change);
    }

    /// Sets the watches on the services, in the order of the services. Only the first call has an effect.
    pub fn set_watches(&self, watches: Vec<Arc<ServiceWatch>>) {
        let _ = self.watches.set(watches);
    }

    /// Starts a thread for each watch that was set with [`Backends::set_watches`].
    ///
    /// # Errors
    ///
    /// The system cannot start the thread of a watch. The threads that were started before the error continue to run.
    pub fn start_watches(&self) -> std::io::Result<()> {
        self.watches().iter().try_for_each(ServiceWatch::start)
    }

    fn watches(&self) -> &[Arc<ServiceWatch>] {
        self.watches.get().map_or(&[], Vec::as_slice)
    }

    /// Returns the numbers of the backends with attempts in flight, as of the last sweep.
    pub fn busy_backends(&self) -> Arc<Mutex<HashSet<u32>>> {
        self.busy_backends.clone()
    }

    /// Refreshes the set of busy backends, and advances the timers of the watches. Call this a few times a second.
    pub fn sweep(&self) {
        let status = self.exchange.status();
        let in_flight = status.backends.iter().filter(|(_, backend)| backend.in_flight > 0);
        *lock_or_abort(&self.busy_backends) = in_flight.map(|(id, _)| id.0).collect();
        self.watches().iter().for_each(|watch| watch.advance());
    }

    /// Returns a backend's name in logs, reports and health checks.
    fn name(&self, service: usize, id: &str) -> String {
        if self.services.len() == 1 { id.to_owned() } else { format!("{}/{id}", self.services[service]) }
    }

    /// Replaces the endpoint list of the service with this index, and updates the pools, the policy and the health checks.
    pub fn set_list(&self, service: usize, list: &EndpointList) {
        let _order = lock_or_abort(&self.list_order);
        let backends = {
            let mut state = lock_or_abort(&self.state);
            state.lists[service] = Some(list.clone());
            self.publish_endpoints(&mut state);
            self.health_checked_backends(&state)
        };
        if let Some(on_backends_change) = self.on_backends_change.get() {
            on_backends_change(backends);
        }
    }

    /// Returns the backends of all services, which the cluster's health checks probe.
    fn health_checked_backends(&self, state: &State) -> Vec<Backend> {
        let mut backends = Vec::new();
        for (service, list) in state.lists.iter().enumerate() {
            for endpoint in list.iter().flat_map(|list| &list.endpoints) {
                let id = self.name(service, &endpoint.instance.id);
                backends.push(Backend { id, address: endpoint.instance.address });
            }
        }
        backends
    }

    /// Replaces the set of backends that health checks have ejected, and updates the pools and the policy.
    pub fn set_ejected(&self, ejected: &BTreeSet<String>) {
        let mut state = lock_or_abort(&self.state);
        state.ejected.clone_from(ejected);
        self.publish_endpoints(&mut state);
    }

    /// Passes the backends of all services to the pools and the policy. Does nothing before the first endpoint list.
    fn publish_endpoints(&self, state: &mut State) {
        if state.lists.iter().all(Option::is_none) {
            return;
        }
        let now = self.clock.now();
        let mut policy_entries = Vec::new();
        let mut pool_endpoints = Vec::new();
        let mut published_states = HashMap::new();
        for (service, list) in state.lists.iter().enumerate() {
            let Some(list) = list else { continue };
            let mean_weight = mean_weight(list);
            for endpoint in &list.endpoints {
                let published_state = self.next_published_state(state, service, endpoint, now);
                published_states.insert(endpoint.number, published_state);
                let PublishedState { ready, started, .. } = published_state;
                let id = BackendId(endpoint.number.0);
                let address = endpoint.instance.address;
                let state = if ready { BackendState::Ready } else { BackendState::Draining };
                let size = if mean_weight > 0.0 { endpoint.instance.weight / mean_weight } else { 1.0 };
                let service = service as u16;
                pool_endpoints.push(BackendEndpoint { id, address, state, started });
                policy_entries.push(BackendEntry {
                    id,
                    state,
                    started,
                    size,
                    service,
                    ..BackendEntry::default()
                });
            }
        }
        state.published_states = published_states;
        self.pools.update_endpoints(ListKind::Full, &pool_endpoints);
        self.exchange.update_endpoints(ListKind::Full, policy_entries);
    }

    /// Returns the state of a backend according to the present endpoint list and results of health checks.
    fn next_published_state(
        &self,
        state: &State,
        service: usize,
        entry: &Endpoint,
        now: Timestamp,
    ) -> PublishedState {
        let is_eligible = entry.eligible || seeded_faults::is_active("drained");
        let ready = is_eligible && !state.ejected.contains(&self.name(service, &entry.instance.id));
        let reported_start =
            entry.instance.started_at.map(|at| Timestamp::from_micros(at.as_millis() * 1000).min(now));
        let started = match state.published_states.get(&entry.number) {
            // The backend has neither restarted nor recovered.
            Some(last) if last.eligible_since == entry.eligible_since && (last.ready || !ready) => {
                last.started
            }
            // The endpoint list shows a restart of the backend, or it passes its health checks again: its caches may be cold.
            Some(_) => reported_start.unwrap_or(now),
            None if entry.eligible_since.is_some() => reported_start.unwrap_or(now),
            None => reported_start.unwrap_or(Timestamp::ZERO),
        };
        PublishedState { ready, eligible_since: entry.eligible_since, started }
    }

    /// Returns the part of the status that covers requests and backends.
    pub fn report(&self) -> String {
        let status = self.exchange.status();
        let AnswerCounts { served, rejected, failed } = status.answers;
        let mut report = format!(
            "operations\n  unanswered {}  served {served}  busy {rejected}  failed {failed}  units {}  counter calls {}\n",
            status.unanswered, status.units_forwarded, status.counter_calls
        );
        let ejected = lock_or_abort(&self.state).ejected.clone();
        for (service, watch) in self.watches().iter().enumerate() {
            self.report_service(service, watch, &status, &ejected, &mut report);
        }
        let _ = writeln!(report, "connections to destinations {}", self.pools.open_connections());
        report
    }

    fn report_service(
        &self,
        service: usize,
        watch: &ServiceWatch,
        status: &Status,
        ejected: &BTreeSet<String>,
        report: &mut String,
    ) {
        let WatchStatus { endpoints, origin } = watch.status();
        let _ = writeln!(report, "destinations of {}  from {origin}", watch.service());
        for endpoint in endpoints.iter().take(MAX_REPORTED_BACKENDS) {
            let backend = BackendId(endpoint.number.0);
            let in_flight = status.backends.get(&backend).map_or(0, |backend| backend.in_flight);
            let state = match (endpoint.eligible, ejected.contains(&self.name(service, &endpoint.id))) {
                (true, true) => "out by its probes".to_owned(),
                (true, false) => endpoint.description.clone(),
                (false, _) => format!("no new work: {}", endpoint.description),
            };
            let _ = writeln!(report, "  {}  {state}  attempts out {in_flight}", endpoint.id);
        }
        if endpoints.len() > MAX_REPORTED_BACKENDS {
            let _ = writeln!(report, "  and {} more", endpoints.len() - MAX_REPORTED_BACKENDS);
        }
    }
}

/// Returns the mean weight of the eligible backends. The size of a backend is its weight relative to the mean, so that weights of
/// 100 throughout a service have the same effect as weights of 1.
fn mean_weight(list: &EndpointList) -> f64 {
    let eligible = || list.endpoints.iter().filter(|endpoint| endpoint.eligible);
    eligible().map(|endpoint| endpoint.instance.weight).sum::<f64>() / eligible().count().max(1) as f64
}

#[cfg(test)]
mod tests;
