//! Startup of the appliance: creates the parts of the gatekeeper, connects them and starts them.

use super::status::StatusServer;
use crate::backends::Backends;
use crate::checked_config::CheckedConfig;
use crate::cluster_settings::ClusterArguments;
use crate::error::Error;
use crate::plan_replication::{self, PolicyInputs};
use crate::start_retry::with_retries;
use crate::{consul_watches, timer_thread};
use catalogue::EndpointNumber;
use cluster::Cluster;
use config_node::Node;
use consul::{LastAnswers, RegistrationHandle};
use counter::CounterClient;
use destination::{BackendPools, HttpProtocol, Limits};
use exchange::{BackendId, Clock, Exchange, QuotaCounter};
use front_openapi::{Front, FrontConfig, HttpExchange, Tenant};
use link::{Listener, spawn};
use openapi::{Route, RouteTable};
use settings::appliance::{ApplianceConfig, RouteClass, TenantConfig, tenant_number};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// File descriptors reserved for listeners, Consul, the counter, `may` and the standard streams.
const RESERVED_SOCKETS: usize = 64;

/// The parts of a running gatekeeper that signals act on.
pub(super) struct Running {
    pub(super) front: Arc<Front>,
    pub(super) listener: Arc<Listener>,
    pub(super) cluster: Option<Arc<Cluster>>,
    pub(super) config_node: Option<Arc<Node>>,
    pub(super) registration: Option<RegistrationHandle>,
}

/// The exchange with the parts that it drives.
struct Core {
    clock: Clock,
    exchange: Arc<HttpExchange>,
    pools: Arc<BackendPools<HttpProtocol>>,
    counter: Option<Arc<CounterClient>>,
    /// The time of each backend's last answer to a client.
    last_answers: Arc<LastAnswers>,
}

/// Starts serving with the configuration of the file `path`.
///
/// # Errors
///
/// A file named in the configuration is missing or invalid, or an address cannot be listened on.
pub(super) fn start(
    checked: CheckedConfig,
    cluster_arguments: Option<ClusterArguments>,
    path: &Path,
) -> Result<Running, Error> {
    let CheckedConfig { config, routes } = checked;
    let inputs = policy_inputs(&config, &routes);
    let core = Core::new(&config, &inputs, path)?;
    let config_node =
        plan_replication::start(&config, path, inputs.clone(), core.exchange.clone())?.map(Arc::new);
    let listener = listen(config.listen)?;
    let status_listener = config.status.map(listen).transpose()?;
    let front = Front::new(core.exchange.clone(), front_config(&config, routes, &inputs.classes));
    let backends = Arc::new(Backends::new(core.clock, core.exchange.clone(), core.pools.clone(), &config));
    let cluster = cluster_arguments.map(|start| join_cluster(start, &backends)).transpose()?;
    consul_watches::create(&backends, &config, path, &core.last_answers)?;
    start_timers(core, &backends, &front);
    if let Some(listener) = status_listener {
        let server = StatusServer {
            front: front.clone(),
            backends: backends.clone(),
            cluster: cluster.clone(),
            config_node: config_node.clone(),
        };
        spawn(move || server.run(&listener));
    }
    tracing::info!("serving OpenAPI on {}", listener.local_address()?);
    backends.start_watches().map_err(Error::ConsulWatch)?;
    let (accepting_front, client_listener) = (front.clone(), listener.clone());
    spawn(move || accepting_front.accept_connections(&client_listener));
    let registration = config.registration.as_ref();
    let registration =
        registration.map(|table| consul_watches::register(table, &config, path)).transpose()?;
    Ok(Running { front, listener, cluster, config_node, registration })
}

impl Core {
    fn new(config: &ApplianceConfig, inputs: &PolicyInputs, path: &Path) -> Result<Self, Error> {
        let settings = config.policy_settings(inputs.max_units, &inputs.classes);
        let settings = settings.map_err(Error::settings(path))?;
        let clock = Clock::start();
        let exchange: Arc<HttpExchange> = Exchange::new(settings, clock.now().as_micros(), clock)?;
        let last_answers = Arc::new(LastAnswers::default());
        let recorded_answers = last_answers.clone();
        let on_served =
            Box::new(move |backend: BackendId| recorded_answers.record(EndpointNumber(backend.0)));
        let pools = BackendPools::new(HttpProtocol { on_served: Some(on_served) }, pool_limits(config));
        pools.set_exchange(exchange.clone());
        let counter =
            config.quota.counter.map(|address| CounterClient::for_exchange(address, exchange.clone()));
        let quota_counter = counter.clone().map(|client| client as Arc<dyn QuotaCounter>);
        exchange.connect(pools.clone(), quota_counter);
        exchange.start_fleet_clock();
        Ok(Self { clock, exchange, pools, counter, last_answers })
    }
}

/// Limit on connections to clients and backends together.
fn max_connections(config: &ApplianceConfig) -> usize {
    config.limits.max_sockets - RESERVED_SOCKETS
}

fn pool_limits(config: &ApplianceConfig) -> Limits {
    Limits {
        connect_timeout: Duration::from_millis(config.limits.connect_timeout_ms),
        idle_timeout: Duration::from_millis(config.limits.idle_timeout_ms),
        max_connections: max_connections(config) / 2,
        max_answer_bytes: config.limits.max_response_bytes + http::MAX_HEAD_BYTES,
        // Responses over HTTP are buffered completely, never streamed.
        stream_budget_bytes: 0,
    }
}

fn join_cluster(arguments: ClusterArguments, backends: &Arc<Backends>) -> Result<Arc<Cluster>, Error> {
    let notified_backends = backends.clone();
    let on_ejection_change =
        Box::new(move |ejected: &BTreeSet<String>| notified_backends.set_ejected(ejected));
    let cluster = Cluster::start(arguments.settings, arguments.jobs, on_ejection_change)?;
    let notified_cluster = cluster.clone();
    backends.set_on_backends_change(Box::new(move |backends| notified_cluster.set_backends(backends)));
    Ok(cluster)
}

fn start_timers(core: Core, backends: &Arc<Backends>, front: &Arc<Front>) {
    let (backends, front) = (backends.clone(), front.clone());
    let Core { exchange, pools, counter, .. } = core;
    timer_thread::start(exchange, move || {
        pools.sweep();
        backends.sweep();
        front.close_overdue();
        if let Some(counter) = &counter {
            counter.close_silent_connections();
        }
    });
}

fn listen(address: SocketAddr) -> Result<Arc<Listener>, Error> {
    with_retries(|| Listener::bind(address)).map(Arc::new).map_err(|source| Error::Listen { address, source })
}

/// Returns the pair of the service and the class of a route. The policy has one class for each pair.
fn route_class(config: &ApplianceConfig, route: &Route) -> RouteClass {
    let names = config.service_names();
    let service = route.service.as_deref().and_then(|service| names.iter().position(|name| *name == service));
    // A route without a service has the default service, at index 0. `CheckedConfig::read` has rejected undefined names.
    RouteClass { service: service.unwrap_or(0) as u16, class: config.class_number(&route.class).unwrap_or(0) }
}

/// Collects the policy's inputs from the routes. The policy has one class for each pair of service and class that occurs in a
/// route.
fn policy_inputs(config: &ApplianceConfig, routes: &RouteTable) -> PolicyInputs {
    let classes: BTreeSet<RouteClass> =
        routes.routes().iter().map(|route| route_class(config, route)).collect();
    PolicyInputs {
        max_units: routes.routes().iter().map(|route| route.units).fold(0.0, f64::max),
        classes: classes.into_iter().collect(),
    }
}

fn front_config(config: &ApplianceConfig, routes: RouteTable, classes: &[RouteClass]) -> FrontConfig {
    let front_class = |route: &Route| {
        let class = route_class(config, route);
        let number = classes.iter().position(|known| *known == class).unwrap_or(0);
        let deadline = config.classes[class.class].deadline_ms * 1000;
        front_openapi::RouteClass { class: number as u16, deadline }
    };
    let tenant = |tenant: &TenantConfig| Tenant {
        name: tenant.name.clone(),
        id: exchange::TenantId(tenant_number(&tenant.name)),
        plan: config.plan_number(&tenant.plan).unwrap_or(0) as u32,
        plan_name: tenant.plan.clone(),
    };
    FrontConfig {
        classes: routes.routes().iter().map(front_class).collect(),
        routes,
        tenant_header: config.tenant_header.clone(),
        tenants: config.tenants.iter().map(tenant).collect(),
        tenant_gatekeeper_count: f64::from(config.quota.gatekeepers),
        max_body_bytes: config.limits.max_body_bytes,
        max_connections: max_connections(config) / 2,
        client_timeout: Duration::from_millis(config.limits.client_timeout_ms),
    }
}
