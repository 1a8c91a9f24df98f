//! The core of a gatekeeper on the platform: the request table with its backends, the counter and the endpoint list.

use super::config_file::{self, BackendTimeouts};
use crate::admin_listener::{AdminListener, MAX_CLIENTS};
use crate::admin_service::{AdminService, Names};
use crate::endpoint_ids::{EndpointIds, TranslatedList};
use crate::error::Error;
use crate::timer_thread;
use counter::CounterClient;
use destination::{BackendPools, Limits, RespProtocol};
use discovery::{PollBackoff, Watch, WatchEvent};
use exchange::{Clock, Exchange, QuotaCounter};
use front_resp::{Front, RespExchange};
use link::spawn_with;
use policy::{Idempotency, ListKind, Settings};
use settings::Numbering;
use settings::platform::PlatformConfig;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, sync_channel};
use std::sync::{Arc, Mutex};

/// Descriptors kept for operators who are yet to connect.
const SPARE_ADMIN_CLIENTS: usize = 4;
/// The part of all connections for attempts is one in this many.
const ATTEMPT_SOCKETS_PART: usize = 3;
/// The part of all connections that is kept free of clients is one in this many.
const RESERVED_FOR_ATTEMPTS_PART: usize = 6;
/// The part of the memory that streamed values may hold together is one in this many.
const STREAMS_PART: usize = 4;

/// By how much a build with seeded faults raises the rates of plans.
const SEEDED_RATE_FACTOR: f64 = 3.0;

/// The request table with the two sides that it drives.
pub(super) struct Core {
    pub(super) exchange: Arc<RespExchange>,
    pub(super) pools: Arc<BackendPools<RespProtocol>>,
    pub(super) counter: Option<Arc<CounterClient>>,
    pub(super) endpoint_ids: Arc<Mutex<EndpointIds>>,
}

impl Core {
    /// `max_connections`: of clients and backends together.
    ///
    /// # Errors
    ///
    /// The policy cannot work by the settings.
    pub(super) fn new(
        config: &PlatformConfig,
        settings: Settings,
        max_connections: usize,
    ) -> Result<Self, Error> {
        let settings = with_seeded_faults(settings);
        let clock = Clock::start();
        let protocol = RespProtocol::new(&settings.load_metrics);
        let exchange = Exchange::new(settings, config.seed, clock)?;
        let timeouts = BackendTimeouts::of(config);
        let limits = Limits {
            connect_timeout: timeouts.connect,
            idle_timeout: timeouts.idle,
            max_connections: max_connections / ATTEMPT_SOCKETS_PART,
            max_answer_bytes: resp::LARGEST_MESSAGE,
            stream_budget_bytes: config.max_memory_bytes / STREAMS_PART,
        };
        let pools = BackendPools::new(protocol, limits);
        pools.set_exchange(exchange.clone());
        let counter = config.counter.map(|address| CounterClient::for_exchange(address, exchange.clone()));
        let calls = counter.clone().map(|client| client as Arc<dyn QuotaCounter>);
        exchange.connect(pools.clone(), calls);
        exchange.start_fleet_clock();
        let endpoint_ids = Arc::new(Mutex::new(EndpointIds::new(config)));
        Ok(Self { exchange, pools, counter, endpoint_ids })
    }

    /// The admin service, with names for all classes and plans.
    pub(super) fn create_admin_service(
        &self,
        numbering: &Numbering,
        directory: Option<PathBuf>,
    ) -> AdminService {
        let (exchange, pools) = (self.exchange.clone(), self.pools.clone());
        let admin = AdminService::new(exchange, pools, self.endpoint_ids.clone(), directory);
        admin.set_names(Names { classes: numbering.class_names(), plans: numbering.plan_names() });
        admin
    }

    /// Announces the list of the configuration, until discovery sends one.
    pub(super) fn announce_cached_list(&self, config: &PlatformConfig) {
        let list = config.cached_list.clone();
        let revision = list.revision;
        let TranslatedList { entries, endpoints } = link::locked(&self.endpoint_ids).translate(list);
        tracing::info!(
            name = config.name,
            count = endpoints.len(),
            version = revision,
            "starting with known endpoints"
        );
        self.pools.update_endpoints(ListKind::Cached, &endpoints);
        self.exchange.update_endpoints(ListKind::Cached, entries);
    }

    /// Starts the watch on the endpoint list. The receiver hears of its first event.
    pub(super) fn start_watch(&self, config: &PlatformConfig) -> (Arc<Watch>, Receiver<()>) {
        let watch = Watch::new(config.discovery);
        let (running, pools, exchange, endpoint_ids) =
            (watch.clone(), self.pools.clone(), self.exchange.clone(), self.endpoint_ids.clone());
        let (sender, first_event) = sync_channel(1);
        let revision = config.cached_list.revision;
        let backoff = PollBackoff::new(config.seed, config.settings.polls_endpoints);
        spawn_with(link::LARGE_STACK, move || {
            running.run(revision, backoff, |event| {
                if let WatchEvent::EndpointList(list) = event {
                    let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
                    let TranslatedList { entries, endpoints } = link::locked(&endpoint_ids).translate(list);
                    pools.update_endpoints(kind, &endpoints);
                    exchange.update_endpoints(kind, entries);
                }
                // Only the first is waited for.
                let _ = sender.try_send(());
            });
        });
        (watch, first_event)
    }

    /// Attempts take few connections, clients hold on to many: a client connection may use any descriptor that no attempt uses,
    /// but for some that stay free for attempts, and for operators.
    pub(super) fn create_front(
        &self,
        config: &PlatformConfig,
        numbering: &Numbering,
        max_connections: usize,
        admin_listener: Option<AdminListener>,
    ) -> Arc<Front> {
        let (pools, reserved) = (self.pools.clone(), max_connections / RESERVED_FOR_ATTEMPTS_PART);
        let rules = config_file::request_rules(config, numbering);
        Front::new(self.exchange.clone(), rules, config.max_memory_bytes, move || {
            // Some operators always find a descriptor; the others wait until a client has released one.
            let operators = admin_listener
                .as_ref()
                .map_or(0, |listener| (listener.client_count() + SPARE_ADMIN_CLIENTS).min(MAX_CLIENTS));
            let attempts = reserved.max(pools.open_connections() + reserved / RESERVED_FOR_ATTEMPTS_PART);
            max_connections.saturating_sub(attempts + operators)
        })
    }

    /// Starts the timer thread.
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

/// Settings that a build with seeded faults gets wrong on purpose.
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
