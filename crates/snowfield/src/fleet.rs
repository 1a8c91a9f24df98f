//! The appliance's destinations: the lists of all services and the verdicts of probes, as the destination side and the
//! module are told of them.

use catalogue::{EndpointList, HealthStatus, StabilityConfig};
use cluster::{Backend, Cluster};
use consul::{CacheFile, ConsulConfig, LastAnswers, NUMBERS_PER_SERVICE, ServiceWatch, WatchConfig};
use destination::{BackendEndpoint, BackendPools, HttpProtocol};
use exchange::Clock;
use front_openapi::HttpExchange;
use link::locked;
use policy::{BackendEntry, BackendId, BackendState, ListKind, Micros};
use settings::appliance::{ApplianceConfig, MinimumHealth};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

/// Destinations that the status shows of each service.
const MOST_SHOWN: usize = 200;

/// The destinations.
pub struct Fleet {
    clock: Clock,
    exchange: Arc<HttpExchange>,
    pools: Arc<BackendPools<HttpProtocol>>,
    known: Mutex<Known>,
    cluster: OnceLock<Arc<Cluster>>,
    watches: OnceLock<Vec<Arc<ServiceWatch>>>,
    /// Numbers with attempts out, as of the last sweep.
    busy: Arc<Mutex<HashSet<u32>>>,
    /// More than one: ids are told apart by their service.
    services: Vec<String>,
}

#[derive(Default)]
struct Known {
    /// By service; `None` until its first list.
    views: Vec<Option<EndpointList>>,
    /// The names that get no new work by their probes.
    out: BTreeSet<String>,
    /// By number: whether it took work, and the time from which it counts as started.
    before: HashMap<u32, (bool, Option<u64>, Micros)>,
}

impl Fleet {
    /// No list yet.
    pub fn new(
        clock: Clock,
        exchange: Arc<HttpExchange>,
        pools: Arc<BackendPools<HttpProtocol>>,
        file: &ApplianceConfig,
    ) -> Self {
        let services: Vec<String> = file.service_names().into_iter().map(str::to_owned).collect();
        let known = Known { views: services.iter().map(|_| None).collect(), ..Known::default() };
        Self {
            clock,
            exchange,
            pools,
            known: Mutex::new(known),
            cluster: OnceLock::new(),
            watches: OnceLock::new(),
            busy: Arc::default(),
            services,
        }
    }

    /// The cluster is told of the fleet from now on.
    pub fn join(&self, cluster: Arc<Cluster>) {
        let _ = self.cluster.set(cluster);
    }

    /// Begins to ask Consul.
    ///
    /// # Errors
    ///
    /// There is no thread to be had.
    pub fn start(&self) -> Result<(), String> {
        for watch in self.watches.get().into_iter().flatten() {
            watch.start().map_err(|e| format!("consul: {e}"))?;
        }
        Ok(())
    }

    /// Lets holds run out; call it twice a second or so.
    pub fn sweep(&self) {
        let status = self.exchange.status();
        let busy =
            status.backends.iter().filter(|(_, backend)| backend.in_flight > 0).map(|(id, _)| id.0).collect();
        *locked(&self.busy) = busy;
        for watch in self.watches.get().into_iter().flatten() {
            watch.advance();
        }
    }

    fn name(&self, service: usize, id: &str) -> String {
        if self.services.len() == 1 { id.to_owned() } else { format!("{}/{id}", self.services[service]) }
    }

    /// A service's list has changed.
    fn listed(&self, service: usize, view: &EndpointList) {
        let fleet = {
            let mut known = locked(&self.known);
            known.views[service] = Some(view.clone());
            self.tell(&mut known);
            let entries = known.views.iter().enumerate().flat_map(|(s, v)| v.iter().map(move |v| (s, v)));
            let entries = entries.flat_map(|(s, v)| v.endpoints.iter().map(move |e| (s, e)));
            let backends = entries
                .map(|(s, e)| Backend { id: self.name(s, &e.instance.id), address: e.instance.address });
            backends.collect()
        };
        if let Some(cluster) = self.cluster.get() {
            cluster.set_backends(fleet);
        }
    }

    /// Probes say which destinations are to get no new work.
    pub fn probed(&self, out: &BTreeSet<String>) {
        let mut known = locked(&self.known);
        known.out.clone_from(out);
        self.tell(&mut known);
    }

    /// Tells the destination side and the module all lists as they are, with the verdicts of probes.
    fn tell(&self, known: &mut Known) {
        if known.views.iter().all(Option::is_none) {
            return;
        }
        let now = self.clock.now();
        let (mut entries, mut places) = (Vec::new(), Vec::new());
        let mut before = HashMap::new();
        for (service, view) in known.views.iter().enumerate() {
            let Some(view) = view else { continue };
            let working = || view.endpoints.iter().filter(|e| e.eligible);
            // Sizes are told against their mean, so that a service whose weights are all 100 is like one of all 1.
            let mean = working().map(|e| e.instance.weight).sum::<f64>() / working().count().max(1) as f64;
            for entry in &view.endpoints {
                let (id, instance) = (entry.number.0, &entry.instance);
                let takes_work = entry.eligible || weakened::breaks("drained");
                let ready = takes_work && !known.out.contains(&self.name(service, &instance.id));
                let stated = instance.started_at.map(|ms| (ms * 1000).min(now));
                let started = match known.before.get(&id) {
                    // Back from its probes' verdict it may be cold; so may one that its list counts as begun anew.
                    Some(&(was_ready, since, started))
                        if since == entry.eligible_since && (was_ready || !ready) =>
                    {
                        started
                    }
                    Some(_) => stated.unwrap_or(now),
                    None if entry.eligible_since.is_some() => stated.unwrap_or(now),
                    None => stated.unwrap_or(0),
                };
                before.insert(id, (ready, entry.eligible_since, started));
                let state = if ready { BackendState::Ready } else { BackendState::Draining };
                let size = if mean > 0.0 { instance.weight / mean } else { 1.0 };
                places.push(BackendEndpoint { id: BackendId(id), address: instance.address, state, started });
                let service = service as u16;
                entries.push(BackendEntry {
                    id: BackendId(id),
                    state,
                    started,
                    size,
                    service,
                    ..BackendEntry::default()
                });
            }
        }
        known.before = before;
        self.pools.update_endpoints(ListKind::Full, &places);
        self.exchange.update_endpoints(ListKind::Full, entries);
    }

    /// The fleet as the console shows it.
    pub fn report(&self) -> String {
        let status = self.exchange.status();
        let exchange::AnswerCounts { served, rejected, failed } = status.answers;
        let mut out = format!(
            "operations\n  unanswered {}  served {served}  busy {rejected}  failed {failed}  units {}  counter calls {}\n",
            status.unanswered, status.units_forwarded, status.counter_calls
        );
        let by_probes = locked(&self.known).out.clone();
        for (service, watch) in self.watches.get().into_iter().flatten().enumerate() {
            let consul::WatchStatus { endpoints: entries, origin } = watch.status();
            let _ = writeln!(out, "destinations of {}  from {origin}", watch.service());
            for consul::EndpointStatus { id, number, description: word, eligible: takes_work } in
                entries.iter().take(MOST_SHOWN)
            {
                let attempts =
                    status.backends.get(&BackendId(number.0)).map_or(0, |backend| backend.in_flight);
                let probed = by_probes.contains(&self.name(service, id));
                let word = match (takes_work, probed) {
                    (true, true) => "out by its probes".to_owned(),
                    (true, false) => word.clone(),
                    (false, _) => format!("no new work: {word}"),
                };
                let _ = writeln!(out, "  {id}  {word}  attempts out {attempts}");
            }
            if entries.len() > MOST_SHOWN {
                let _ = writeln!(out, "  and {} more", entries.len() - MOST_SHOWN);
            }
        }
        let _ = writeln!(out, "connections to destinations {}", self.pools.open_connections());
        if let Some(cluster) = self.cluster.get() {
            out.push_str(&crate::appliance::cluster_report(cluster));
        }
        out
    }
}

/// Where Consul is, as the file says.
pub fn source(file: &ApplianceConfig, folder: &Path) -> ConsulConfig {
    let consul = &file.consul;
    ConsulConfig {
        agents: std::iter::once(consul.address).chain(consul.further_agents.iter().copied()).collect(),
        token_file: consul.token_file.as_ref().map(|name| folder.join(name)),
        datacenter: consul.datacenter.clone(),
        namespace: consul.namespace.clone(),
        partition: consul.partition.clone(),
        max_stale_ms: consul.max_stale_ms,
        blocking_wait: Duration::from_millis(consul.wait_ms),
    }
}

/// Makes the watches on all services; what the list file holds is told at once.
///
/// # Errors
///
/// The token file cannot be used.
pub fn watch(
    fleet: &Arc<Fleet>,
    file: &ApplianceConfig,
    folder: &Path,
    answered: &Arc<LastAnswers>,
) -> Result<(), String> {
    let consul = &file.consul;
    let source = source(file, folder);
    consul::TokenFile::new(source.token_file.clone())
        .read()
        .map_err(|e| format!("consul: token_file: {e}"))?;
    let list_file = consul.cache_file.as_ref().map(|name| {
        let services = file.service_names().into_iter().map(str::to_owned);
        Arc::new(CacheFile::open(folder.join(name), consul.cache_max_age_s, services))
    });
    let guards = StabilityConfig {
        minimum_health: match consul.minimum_health {
            MinimumHealth::Passing => HealthStatus::Passing,
            MinimumHealth::Warning => HealthStatus::Warning,
        },
        flap_hold: consul.flap_hold_ms,
        max_flap_hold: consul.max_flap_hold_ms,
        sudden_loss_share: consul.sudden_loss_share,
        sudden_loss_hold: consul.sudden_loss_hold_ms,
        ..StabilityConfig::default()
    };
    let own = (consul.service.clone(), consul.tag.clone(), consul.filter.clone());
    let others = file.services.iter().map(|s| (s.name.clone(), s.tag.clone(), s.filter.clone()));
    let watches = std::iter::once(own).chain(others).enumerate().map(|(i, (service, tag, filter))| {
        let last_number = i as u32 * NUMBERS_PER_SERVICE;
        let watched = WatchConfig { service, tag, filter, stability: guards.clone(), last_number };
        let (told, busy) = (fleet.clone(), fleet.busy.clone());
        ServiceWatch::new(
            source.clone(),
            watched,
            answered.clone(),
            list_file.clone(),
            Box::new(move |view| told.listed(i, view)),
            Box::new(move |number| locked(&busy).contains(&number.0)),
        )
    });
    let watches: Vec<_> = watches.collect();
    let _ = fleet.watches.set(watches);
    Ok(())
}
