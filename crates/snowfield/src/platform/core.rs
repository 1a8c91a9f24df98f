//! The core of a gatekeeper on the platform: the exchange with its backend pools, counter client and endpoint list.

use super::config_file::{self, BackendTimeouts};
use crate::admin_listener::{AdminListener, MAX_CLIENTS};
use crate::admin_service::{AdminService, PolicyNames};
use crate::endpoint_ids::{EndpointIds, TranslatedList};
use crate::error::Error;
use crate::operator_ejections::OperatorEjections;
use crate::timer_thread;
use counter::CounterClient;
use destination::{BackendPools, Limits, RespProtocol};
use discovery::{AgentMode, PollBackoff, Watch, WatchEvent};
use exchange::{Clock, Exchange, QuotaCounter};
use front_resp::{Front, RespExchange};
use link::spawn_with;
use policy::{Idempotency, ListKind, Settings};
use settings::Numbering;
use settings::platform::PlatformConfig;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, sync_channel};
use std::sync::{Arc, Mutex};

/// Descriptors reserved for admin clients that are yet to connect.
const SPARE_ADMIN_CLIENTS: usize = 4;
/// Backend connections may take up to `1 / ATTEMPT_SOCKETS_DIVISOR` of all connections.
const ATTEMPT_SOCKETS_DIVISOR: usize = 3;
/// At least `1 / RESERVED_FOR_ATTEMPTS_DIVISOR` of all connections is reserved for attempts.
const RESERVED_FOR_ATTEMPTS_DIVISOR: usize = 6;
/// Streamed values may hold up to `1 / STREAM_BUDGET_DIVISOR` of the memory together.
const STREAM_BUDGET_DIVISOR: usize = 4;

/// Factor by which a build with seeded faults raises the rates of plans.
const SEEDED_RATE_FACTOR: f64 = 3.0;

/// The exchange with the parts that it drives.
pub(super) struct Core {
    pub(super) exchange: Arc<RespExchange>,
    pub(super) pools: Arc<BackendPools<RespProtocol>>,
    pub(super) counter: Option<Arc<CounterClient>>,
    pub(super) endpoint_ids: Arc<Mutex<EndpointIds>>,
}

/// A running watch on the endpoint list.
pub(super) struct StartedWatch {
    pub(super) watch: Arc<Watch>,
    /// Receives a message at the first event of the watch, an endpoint list or a failure.
    pub(super) first_event: Receiver<()>,
}

impl Core {
    /// Creates the exchange, the pools and the counter client, and connects them. `max_connections` limits the connections to
    /// clients and backends together.
    ///
    /// # Errors
    ///
    /// The policy rejects the settings.
    pub(super) fn new(
        config: &PlatformConfig,
        settings: Settings,
        max_connections: usize,
    ) -> Result<Self, Error> {
        let settings = with_seeded_faults(settings);
        let clock = Clock::start();
        let protocol = RespProtocol::new(&settings.load_metrics);
        let exchange = Exchange::new(settings, config.seed, clock)?;
        let timeouts = BackendTimeouts::from_config(config);
        let limits = Limits {
            connect_timeout: timeouts.connect,
            idle_timeout: timeouts.idle,
            max_connections: max_connections / ATTEMPT_SOCKETS_DIVISOR,
            max_answer_bytes: resp::MAX_MESSAGE_BYTES,
            stream_budget_bytes: config.max_memory_bytes / STREAM_BUDGET_DIVISOR,
        };
        let pools = BackendPools::new(protocol, limits);
        pools.set_exchange(exchange.clone());
        let counter = config.counter.map(|address| CounterClient::for_exchange(address, exchange.clone()));
        let quota_counter = counter.clone().map(|client| client as Arc<dyn QuotaCounter>);
        exchange.connect(pools.clone(), quota_counter);
        exchange.start_fleet_clock();
        let endpoint_ids = Arc::new(Mutex::new(EndpointIds::new(config)));
        Ok(Self { exchange, pools, counter, endpoint_ids })
    }

    /// Creates the service for operators' ejections. Ejections are stored in `directory`; with `None` they are not stored.
    pub(super) fn create_operator_ejections(&self, directory: Option<PathBuf>) -> OperatorEjections {
        let (exchange, pools) = (self.exchange.clone(), self.pools.clone());
        OperatorEjections::new(exchange, pools, self.endpoint_ids.clone(), directory)
    }

    /// Creates the admin service with the names of all classes and plans.
    pub(super) fn create_admin_service(
        &self,
        numbering: &Numbering,
        ejections: Arc<OperatorEjections>,
    ) -> AdminService {
        let names = PolicyNames { classes: numbering.class_names(), plans: numbering.plan_names() };
        AdminService::new(self.exchange.clone(), self.pools.clone(), ejections, names)
    }

    /// Passes the endpoint list in the configuration file to the pools and the policy, to be used until discovery sends one.
    pub(super) fn apply_cached_list(&self, config: &PlatformConfig) {
        let list = config.cached_list.clone();
        let revision = list.revision;
        let TranslatedList { entries, endpoints } = link::lock_or_abort(&self.endpoint_ids).translate(list);
        tracing::info!(
            name = config.name,
            count = endpoints.len(),
            version = revision,
            "starting with known endpoints"
        );
        self.pools.update_endpoints(ListKind::Cached, &endpoints);
        self.exchange.update_endpoints(ListKind::Cached, entries);
    }

    /// Starts the watch on the endpoint list.
    pub(super) fn start_watch(&self, config: &PlatformConfig) -> StartedWatch {
        let watch = Watch::new(config.discovery);
        let (running_watch, pools, exchange, endpoint_ids) =
            (watch.clone(), self.pools.clone(), self.exchange.clone(), self.endpoint_ids.clone());
        let (first_event_sender, first_event) = sync_channel(1);
        let revision = config.cached_list.revision;
        let agent_mode =
            if config.settings.polls_endpoints { AgentMode::Polling } else { AgentMode::Notified };
        let backoff = PollBackoff::new(config.seed, agent_mode);
        spawn_with(link::JSON_STACK_BYTES, move || {
            running_watch.run(revision, backoff, |event| {
                if let WatchEvent::EndpointList(list) = event {
                    let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
                    let TranslatedList { entries, endpoints } =
                        link::lock_or_abort(&endpoint_ids).translate(list);
                    pools.update_endpoints(kind, &endpoints);
                    exchange.update_endpoints(kind, entries);
                }
                // The start waits for the first event only. For a later event `try_send` fails, since the channel is full or
                // closed.
                let _ = first_event_sender.try_send(());
            });
        });
        StartedWatch { watch, first_event }
    }

    /// Creates the front with its limit on client connections. Attempts take few connections and clients keep many open: a client
    /// connection may use any descriptor that no attempt uses, except for a reserve for attempts and for admin clients.
    pub(super) fn create_front(
        &self,
        config: &PlatformConfig,
        numbering: &Numbering,
        max_connections: usize,
        admin_listener: Option<AdminListener>,
    ) -> Arc<Front> {
        let rules = config_file::request_rules(config, numbering);
        let pools = self.pools.clone();
        let min_reserved = max_connections / RESERVED_FOR_ATTEMPTS_DIVISOR;
        let client_limit = move || {
            let reserved_for_attempts =
                pools.open_connections() + min_reserved / RESERVED_FOR_ATTEMPTS_DIVISOR;
            // A few admin clients get a descriptor at once. Further admin clients wait until a client connection has released
            // one.
            let reserved_for_admin = admin_listener
                .as_ref()
                .map_or(0, |listener| (listener.client_count() + SPARE_ADMIN_CLIENTS).min(MAX_CLIENTS));
            max_connections.saturating_sub(min_reserved.max(reserved_for_attempts) + reserved_for_admin)
        };
        Front::new(self.exchange.clone(), rules, config.max_memory_bytes, client_limit)
    }

    /// Starts the timer thread, which also closes idle and silent connections.
    pub(super) fn start_timers(&self, front: &Arc<Front>, watch: &Arc<Watch>) {
        let (pools, front, watch) = (self.pools.clone(), front.clone(), watch.clone());
        let counter = self.counter.clone();
        timer_thread::start(self.exchange.clone(), move || {
            pools.sweep();
            front.sweep();
            watch.close_if_silent();
            if let Some(counter) = &counter {
                counter.close_silent_connections();
            }
        });
    }
}

/// Applies the active seeded faults to the settings; see the package `seeded_faults`.
fn with_seeded_faults(mut settings: Settings) -> Settings {
    if seeded_faults::is_active("repeats") {
        settings.classes.iter_mut().for_each(|class| class.idempotency = Idempotency::Idempotent);
    }
    if seeded_faults::is_active("quotas") {
        for plan in &mut settings.plans {
            plan.rate *= SEEDED_RATE_FACTOR;
            plan.ceiling_rate *= SEEDED_RATE_FACTOR;
        }
    }
    if seeded_faults::is_active("cold") {
        settings.slow_start_duration = 0;
    }
    settings
}
