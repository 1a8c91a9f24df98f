//! The appliance: the OpenAPI front, Consul and the console's status.

use crate::fleet::{self, Fleet};
use crate::{agreed, duties, log, signals};
use cluster::Cluster;
use config_node::Node;
use consul::LastAnswers;
use counter::CounterClient;
use destination::{BackendPools, HttpProtocol, Limits};
use exchange::{Clock, Exchange, QuotaCounter};
use front_openapi::{Front, FrontConfig, HttpExchange, Tenant};
use link::{Listener, spawn};
use openapi::{Description, Route, RouteTable};
use settings::appliance::{ApplianceConfig, LogFormat, RouteClass, TenantConfig, tenant_number};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Descriptors kept for listeners, Consul, the counter, `may` and the standard streams.
const SPARE_SOCKETS: usize = 64;

/// A file with its descriptions, checked together.
pub struct Checked {
    /// The file.
    pub file: ApplianceConfig,
    /// Its routes.
    pub table: RouteTable,
}

/// Reads a file and its descriptions, and checks all that can be checked without a connection.
///
/// # Errors
///
/// The text names what is missing or cannot be used.
pub fn check(path: &Path) -> Result<Checked, String> {
    let read = |path: &Path| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    let file = ApplianceConfig::parse(&read(path)?).map_err(|e| format!("{}: {e}", path.display()))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let texts = file
        .descriptions
        .iter()
        .map(|name| Ok((name.display().to_string(), read(&folder.join(name))?)))
        .collect::<Result<Vec<_>, String>>()?;
    let descriptions: Vec<_> = texts.iter().map(|(name, text)| Description { name, text }).collect();
    let table = RouteTable::load(&descriptions).map_err(|e| e.to_string())?;
    for route in table.routes() {
        let called = format!("{}: {} {}", route.source, route.method, route.path);
        if file.class_number(&route.class).is_none() {
            return Err(format!("{called} has the class {:?}, which the file does not define", route.class));
        }
        if let Some(service) = route.service.as_deref().filter(|s| !file.service_names().contains(s)) {
            return Err(format!("{called} has the service {service:?}, which the file does not define"));
        }
        // What no plan can ever hold would be refused for ever.
        if let Some(plan) = file.plans.iter().find(|p| p.burst < route.units) {
            return Err(format!(
                "{called} takes {} units, more than the burst of plan {:?}",
                route.units, plan.name
            ));
        }
    }
    Ok(Checked { file, table })
}

/// Serves until a signal.
///
/// # Errors
///
/// The text says what cannot be used.
pub fn serve(path: &Path) -> Result<(), String> {
    let caught = signals::catch()?;
    let Checked { file, table } = check(path)?;
    log::begin(match file.log_format {
        LogFormat::Plain => log::Form::Plain,
        LogFormat::Json => log::Form::Json,
    })?;
    link::set_up();
    let longest = file.classes.iter().map(|c| c.deadline_ms).max().unwrap_or(0);
    let folder = path.parent().unwrap_or(Path::new("."));
    let shared = duties::settings(&file, folder)?;
    let started = start(file, table, shared, folder)?;
    let serving = Serving { started: &started, longest: Duration::from_millis(longest), path };
    signals::serve_until(caught, &started.door, &serving);
    Ok(())
}

/// What signals act on.
struct Serving<'a> {
    started: &'a Started,
    longest: Duration,
    path: &'a Path,
}

impl signals::Serving for Serving<'_> {
    /// Routes, lenders and plans are part of the decisions in hand: they change with a restart, which loses nothing.
    fn reload(&self) {
        match &self.started.cluster {
            Some(cluster) => duties::reload(self.path, cluster, self.started.agreement.as_deref()),
            None => tracing::info!("reload: SIGHUP changes nothing here; a restart takes the new file"),
        }
    }

    fn close(&self) {
        // First of all, so that the others take over while this instance finishes.
        if let Some(registered) = &self.started.registered {
            registered.deregister();
        }
        if let Some(cluster) = &self.started.cluster {
            cluster.leave();
        }
        self.started.front.drain();
    }

    fn open(&self) -> usize {
        self.started.front.open_connections()
    }

    fn longest(&self) -> Duration {
        self.longest
    }
}

struct Started {
    front: Arc<Front>,
    door: Arc<Listener>,
    cluster: Option<Arc<Cluster>>,
    agreement: Option<Arc<Node>>,
    registered: Option<consul::RegistrationHandle>,
}

/// The service and the class of a route, by number.
fn pair(file: &ApplianceConfig, route: &Route) -> RouteClass {
    let names = file.service_names();
    let service = route.service.as_deref().and_then(|s| names.iter().position(|n| *n == s)).unwrap_or(0);
    RouteClass { service: service as u16, class: file.class_number(&route.class).unwrap_or(0) }
}

fn start(
    file: ApplianceConfig,
    table: RouteTable,
    shared: Option<duties::Shared>,
    folder: &Path,
) -> Result<Started, String> {
    let largest = table.routes().iter().map(|r| r.units).fold(0.0, f64::max);
    // The module's classes: each pair of service and class that some route has.
    let pairs: Vec<RouteClass> =
        table.routes().iter().map(|r| pair(&file, r)).collect::<BTreeSet<_>>().into_iter().collect();
    let settings = file.policy_settings(largest, &pairs).map_err(|e| e.to_string())?;
    let clock = Clock::start();
    let exchange: Arc<HttpExchange> =
        Exchange::new(settings, clock.now(), clock).map_err(|e| e.to_string())?;
    let sockets = file.limits.max_sockets - SPARE_SOCKETS;
    let limits = Limits {
        connect_timeout: Duration::from_millis(file.limits.connect_timeout_ms),
        idle_timeout: Duration::from_millis(file.limits.idle_timeout_ms),
        max_connections: sockets / 2,
        max_answer_bytes: file.limits.max_response_bytes + http::MAX_HEAD_BYTES,
        // Answers over HTTP are held whole.
        stream_budget_bytes: 0,
    };
    let answered = Arc::new(LastAnswers::default());
    let noted = answered.clone();
    let on_served =
        Some(
            Box::new(move |backend: exchange::BackendId| noted.record(catalogue::EndpointNumber(backend.0)))
                as Box<dyn Fn(exchange::BackendId) + Send + Sync>,
        );
    let pools = BackendPools::new(HttpProtocol { on_served }, limits);
    pools.set_exchange(exchange.clone());
    let counter = file.quota.counter.map(|at| CounterClient::for_exchange(at, exchange.clone()));
    let calls = counter.clone().map(|c| c as Arc<dyn QuotaCounter>);
    exchange.connect(pools.clone(), calls);

    let agreement = match agreed::config(&file, folder)? {
        Some(config) => {
            let settled = (largest, pairs.clone());
            Some(Arc::new(agreed::start(config, &file, settled, exchange.clone())?))
        }
        None => None,
    };
    let (door, status_door) = (open(file.listen)?, file.status.map(open).transpose()?);
    let front = Front::new(exchange.clone(), setup(&file, table, &pairs, sockets / 2));
    let fleet = Arc::new(Fleet::new(clock, exchange.clone(), pools.clone(), &file));
    let cluster = match shared {
        Some((settings, calls)) => {
            let told = fleet.clone();
            let on_out = Box::new(move |out: &BTreeSet<String>| told.probed(out));
            let cluster = Cluster::start(settings, calls, on_out).map_err(|e| format!("cluster: {e}"))?;
            fleet.join(cluster.clone());
            Some(cluster)
        }
        None => None,
    };
    fleet::watch(&fleet, &file, folder, &answered)?;
    let swept = front.clone();
    let listed = fleet.clone();
    crate::clock::run(exchange, move || {
        pools.sweep();
        listed.sweep();
        swept.close_overdue();
        if let Some(counter) = &counter {
            counter.close_silent_connections();
        }
    });
    if let Some(door) = status_door {
        let (shown, fleet, agreement) = (front.clone(), fleet.clone(), agreement.clone());
        spawn(move || show_status(&door, &shown, &fleet, agreement.as_ref()));
    }
    tracing::info!("serving OpenAPI on {}", door.local_address().map_err(|e| e.to_string())?);
    fleet.start()?;
    let (accepting, entrance) = (front.clone(), door.clone());
    spawn(move || accepting.accept_connections(&entrance));
    let registered = file.registration.as_ref().map(|r| {
        let registration = consul::RegistrationConfig {
            name: r.name.clone(),
            id: r.id.clone(),
            address: r.address.unwrap_or(file.listen),
            ttl: Duration::from_millis(r.ttl_ms),
        };
        consul::register(fleet::source(&file, folder), registration)
    });
    let registered = registered.transpose().map_err(|e| format!("register: {e}"))?;
    Ok(Started { front, door, cluster, agreement, registered })
}

fn open(at: std::net::SocketAddr) -> Result<Arc<Listener>, String> {
    Listener::bind(at).map(Arc::new).map_err(|e| format!("{at}: {e}"))
}

fn setup(
    file: &ApplianceConfig,
    table: RouteTable,
    pairs: &[RouteClass],
    most_sockets: usize,
) -> FrontConfig {
    let class = |r: &Route| {
        let pair = pair(file, r);
        let number = pairs.iter().position(|p| *p == pair).unwrap_or(0);
        front_openapi::RouteClass {
            class: number as u16,
            deadline: file.classes[pair.class].deadline_ms * 1000,
        }
    };
    let classes = table.routes().iter().map(class).collect();
    let lender = |l: &TenantConfig| Tenant {
        name: l.name.clone(),
        id: exchange::TenantId(tenant_number(&l.name)),
        plan: file.plan_number(&l.plan).unwrap_or(0) as u32,
        plan_name: l.plan.clone(),
    };
    FrontConfig {
        classes,
        routes: table,
        tenant_header: file.tenant_header.clone(),
        tenants: file.tenants.iter().map(lender).collect(),
        tenant_gatekeepers: f64::from(file.quota.gatekeepers),
        max_body_bytes: file.limits.max_body_bytes,
        max_connections: most_sockets,
        client_timeout: Duration::from_millis(file.limits.client_timeout_ms),
    }
}

/// The cluster's part of the status.
pub fn cluster_report(cluster: &Cluster) -> String {
    told(&cluster.request_status()).unwrap_or_else(|| "cluster\n  it does not answer\n".into())
}

/// What another thread reports, which the worker does not wait for.
fn told(told: &Receiver<String>) -> Option<String> {
    for _ in 0..100 {
        if let Ok(report) = told.try_recv() {
            return Some(report);
        }
        link::sleep(Duration::from_millis(5));
    }
    None
}

/// Answers whoever connects with the status as text.
fn show_status(door: &Listener, front: &Arc<Front>, fleet: &Arc<Fleet>, agreement: Option<&Arc<Node>>) {
    while let Some(link) = door.accept() {
        let (front, fleet, agreement) = (front.clone(), fleet.clone(), agreement.cloned());
        spawn(move || {
            let agreed =
                agreement.and_then(|agreement| told(&agreement.request_status())).unwrap_or_default();
            let body = front.report() + &fleet.report() + &agreed;
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
                 Connection: close\r\n\r\n",
                body.len()
            );
            if link.send((head + &body).as_bytes()).is_ok() {
                link.close_gracefully();
            }
        });
    }
}
