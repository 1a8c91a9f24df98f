//! The appliance's backends: the endpoint lists of all services and the results of health checks, merged into what the
//! connection pools and the policy are told.

use catalogue::{Endpoint, EndpointList, EndpointNumber, MonotonicTime};
use cluster::{Backend, Cluster};
use consul::{ServiceWatch, WatchStatus};
use destination::{BackendEndpoint, BackendPools, HttpProtocol};
use exchange::{AnswerCounts, Clock, Status};
use front_openapi::HttpExchange;
use link::locked;
use policy::{BackendEntry, BackendId, BackendState, ListKind, Timestamp};
use settings::appliance::ApplianceConfig;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt::Write;
use std::sync::{Arc, Mutex, OnceLock};

/// Backends that the status shows of each service.
const MAX_SHOWN: usize = 200;

/// The backends of all services.
pub struct Backends {
    clock: Clock,
    exchange: Arc<HttpExchange>,
    pools: Arc<BackendPools<HttpProtocol>>,
    state: Mutex<State>,
    cluster: OnceLock<Arc<Cluster>>,
    watches: OnceLock<Vec<Arc<ServiceWatch>>>,
    /// Backends with attempts in flight, as of the last sweep.
    busy: Arc<Mutex<HashSet<u32>>>,
    /// With more than one, backends are named with their service.
    services: Vec<String>,
}

#[derive(Default)]
struct State {
    /// By service; `None` until its first list.
    views: Vec<Option<EndpointList>>,
    /// Names of the backends that health checks have ejected.
    ejected: BTreeSet<String>,
    /// What was announced of each backend last, by number.
    announced: HashMap<EndpointNumber, Announced>,
}

/// What was announced of a backend.
#[derive(Clone, Copy)]
struct Announced {
    ready: bool,
    /// When its list says that it began, which changes with each restart.
    listed_since: Option<MonotonicTime>,
    /// When it counts as started.
    started: Timestamp,
}

impl Backends {
    /// The backends of this configuration, without any list yet.
    pub fn new(
        clock: Clock,
        exchange: Arc<HttpExchange>,
        pools: Arc<BackendPools<HttpProtocol>>,
        config: &ApplianceConfig,
    ) -> Self {
        let services: Vec<String> = config.service_names().into_iter().map(str::to_owned).collect();
        let state = State { views: services.iter().map(|_| None).collect(), ..State::default() };
        Self {
            clock,
            exchange,
            pools,
            state: Mutex::new(state),
            cluster: OnceLock::new(),
            watches: OnceLock::new(),
            busy: Arc::default(),
            services,
        }
    }

    /// Sets the cluster that is told of the backends. The first one stays.
    pub fn set_cluster(&self, cluster: Arc<Cluster>) {
        let _ = self.cluster.set(cluster);
    }

    /// Sets the watches on the services, in their order. The first ones stay.
    pub fn set_watches(&self, watches: Vec<Arc<ServiceWatch>>) {
        let _ = self.watches.set(watches);
    }

    /// Starts the watches.
    ///
    /// # Errors
    ///
    /// No thread can be started.
    pub fn start_watches(&self) -> std::io::Result<()> {
        self.watches().iter().try_for_each(ServiceWatch::start)
    }

    fn watches(&self) -> &[Arc<ServiceWatch>] {
        self.watches.get().map_or(&[], Vec::as_slice)
    }

    /// Backends with attempts in flight, as of the last sweep.
    pub fn busy(&self) -> Arc<Mutex<HashSet<u32>>> {
        self.busy.clone()
    }

    /// Ends holds that are over; to be called a few times a second.
    pub fn sweep(&self) {
        let status = self.exchange.status();
        let in_flight = status.backends.iter().filter(|(_, backend)| backend.in_flight > 0);
        *locked(&self.busy) = in_flight.map(|(id, _)| id.0).collect();
        self.watches().iter().for_each(|watch| watch.advance());
    }

    /// A backend's name in logs, reports and health checks.
    fn name(&self, service: usize, id: &str) -> String {
        if self.services.len() == 1 { id.to_owned() } else { format!("{}/{id}", self.services[service]) }
    }

    /// Takes the new list of a service, by its number.
    pub fn set_view(&self, service: usize, view: &EndpointList) {
        let backends = {
            let mut state = locked(&self.state);
            state.views[service] = Some(view.clone());
            self.announce(&mut state);
            let backend = |(service, entry): (usize, &Endpoint)| Backend {
                id: self.name(service, &entry.instance.id),
                address: entry.instance.address,
            };
            entries(&state.views).map(backend).collect()
        };
        if let Some(cluster) = self.cluster.get() {
            cluster.set_backends(backends);
        }
    }

    /// Takes the names of the backends that health checks have ejected.
    pub fn set_ejected(&self, ejected: &BTreeSet<String>) {
        let mut state = locked(&self.state);
        state.ejected.clone_from(ejected);
        self.announce(&mut state);
    }

    /// Announces all lists with the results of health checks to the pools and the policy.
    fn announce(&self, state: &mut State) {
        if state.views.iter().all(Option::is_none) {
            return;
        }
        let now = self.clock.now();
        let (mut policy_entries, mut endpoints, mut announced) = (Vec::new(), Vec::new(), HashMap::new());
        for (service, view) in state.views.iter().enumerate() {
            let Some(view) = view else { continue };
            let mean_weight = mean_weight(view);
            for entry in &view.endpoints {
                let now_announced = self.next_announcement(state, service, entry, now);
                announced.insert(entry.number, now_announced);
                let Announced { ready, started, .. } = now_announced;
                let id = BackendId(entry.number.0);
                let state = if ready { BackendState::Ready } else { BackendState::Draining };
                let size = if mean_weight > 0.0 { entry.instance.weight / mean_weight } else { 1.0 };
                let service = service as u16;
                endpoints.push(BackendEndpoint { id, address: entry.instance.address, state, started });
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
        state.announced = announced;
        self.pools.update_endpoints(ListKind::Full, &endpoints);
        self.exchange.update_endpoints(ListKind::Full, policy_entries);
    }

    /// What to announce of a backend now.
    fn next_announcement(
        &self,
        state: &State,
        service: usize,
        entry: &Endpoint,
        now: Timestamp,
    ) -> Announced {
        let takes_work = entry.eligible || seeded_faults::is_active("drained");
        let ready = takes_work && !state.ejected.contains(&self.name(service, &entry.instance.id));
        let stated = entry.instance.started_at.map(|ms| Timestamp::from_micros(ms * 1000).min(now));
        let started = match state.announced.get(&entry.number) {
            // It was ready all along, or is not yet: it counts as started when it did before.
            Some(last) if last.listed_since == entry.eligible_since && (last.ready || !ready) => last.started,
            // Health checks have let it back in, or its list counts it as restarted: it may be cold.
            Some(_) => stated.unwrap_or(now),
            None if entry.eligible_since.is_some() => stated.unwrap_or(now),
            None => stated.unwrap_or(Timestamp::ZERO),
        };
        Announced { ready, listed_since: entry.eligible_since, started }
    }

    /// The report on requests and backends for the status.
    pub fn report(&self) -> String {
        let status = self.exchange.status();
        let AnswerCounts { served, rejected, failed } = status.answers;
        let mut report = format!(
            "operations\n  unanswered {}  served {served}  busy {rejected}  failed {failed}  units {}  counter calls {}\n",
            status.unanswered, status.units_forwarded, status.counter_calls
        );
        let ejected = locked(&self.state).ejected.clone();
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
        for endpoint in endpoints.iter().take(MAX_SHOWN) {
            let backend = BackendId(endpoint.number.0);
            let in_flight = status.backends.get(&backend).map_or(0, |backend| backend.in_flight);
            let state = match (endpoint.eligible, ejected.contains(&self.name(service, &endpoint.id))) {
                (true, true) => "out by its probes".to_owned(),
                (true, false) => endpoint.description.clone(),
                (false, _) => format!("no new work: {}", endpoint.description),
            };
            let _ = writeln!(report, "  {}  {state}  attempts out {in_flight}", endpoint.id);
        }
        if endpoints.len() > MAX_SHOWN {
            let _ = writeln!(report, "  and {} more", endpoints.len() - MAX_SHOWN);
        }
    }
}

/// All entries with the number of their service.
fn entries(views: &[Option<EndpointList>]) -> impl Iterator<Item = (usize, &Endpoint)> {
    let listed = views.iter().enumerate().filter_map(|(service, view)| Some((service, view.as_ref()?)));
    listed.flat_map(|(service, view)| view.endpoints.iter().map(move |entry| (service, entry)))
}

/// Sizes are relative to the mean weight: a service with weights of 100 throughout is like one with weights of 1.
fn mean_weight(view: &EndpointList) -> f64 {
    let working = || view.endpoints.iter().filter(|entry| entry.eligible);
    working().map(|entry| entry.instance.weight).sum::<f64>() / working().count().max(1) as f64
}
