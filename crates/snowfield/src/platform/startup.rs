//! The start on the platform: each part is created, connected to the others, and started; a process that serves is taken over
//! from.

use super::config_file::{self, BackendTimeouts, ConfigFile};
use super::reload::InForce;
use crate::admin_listener::{AdminListener, MAX_CLIENTS};
use crate::admin_service::{AdminService, Names};
use crate::endpoint_ids::{EndpointIds, TranslatedList};
use crate::error::Error;
use crate::hot_restart::{self, HotRestart};
use crate::timer_thread;
use counter::CounterClient;
use destination::{BackendPools, Limits, RespProtocol};
use discovery::{PollBackoff, Watch, WatchEvent};
use exchange::{Clock, Exchange, QuotaCounter};
use front_resp::{Front, RespExchange};
use handover::{Peer, UpgradeSocket};
use link::{Listener, spawn, spawn_with};
use policy::{ListKind, Settings};
use settings::Numbering;
use settings::platform::PlatformConfig;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{Receiver, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Descriptors kept for the listener, discovery, the counter with its lanes before and after a reload, the file that is read at
/// a reload, `may`, the signals and the standard streams: 19 at the most.
const RESERVED_SOCKETS: usize = 20;
/// Descriptors of the admin listener itself, where there is one, and of hot restarts.
const ADMIN_SOCKETS: usize = 5;
/// Descriptors kept for operators who are yet to connect.
const SPARE_ADMIN_CLIENTS: usize = 4;
/// Connections to clients and backends that are always allowed.
const MIN_SOCKETS: usize = 16;
/// The part of these for attempts is one in this many.
const ATTEMPT_SOCKETS_PART: usize = 3;
/// The part that is kept free of clients is one in this many.
const RESERVED_FOR_ATTEMPTS_PART: usize = 6;
/// The part of the memory that streamed values may hold together is one in this many.
const STREAMS_PART: usize = 4;
/// How long a process waits for its first list before it serves: the cached one may be old, and what the agent has counts as
/// known from the first moment on.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// The directory that a process shares with its predecessor and successor.
const SHARED_DIRECTORY_VARIABLE: &str = "TMPDIR";

/// The parts that signals act on.
pub(super) struct Running {
    pub(super) front: Arc<Front>,
    pub(super) listener: Arc<Listener>,
    pub(super) watch: Arc<Watch>,
    pub(super) counter: Option<Arc<CounterClient>>,
    pub(super) admin: Arc<AdminService>,
    pub(super) hot_restart: Arc<HotRestart>,
    pub(super) in_force: Mutex<InForce>,
    /// Of all configurations so far: what was accepted under an earlier one may still be open.
    pub(super) longest_deadline_us: AtomicU64,
}

/// The request table with the two sides that it drives.
struct Core {
    exchange: Arc<RespExchange>,
    pools: Arc<BackendPools<RespProtocol>>,
    counter: Option<Arc<CounterClient>>,
    endpoint_ids: Arc<Mutex<EndpointIds>>,
}

/// Starts serving by the file `path`.
///
/// # Errors
///
/// An address cannot be listened on, or the policy cannot work by the settings.
pub(super) fn start(file: ConfigFile, path: &Path) -> Result<Running, Error> {
    let ConfigFile { config, keys } = file;
    let mut numbering = Numbering::default();
    let settings = numbering.update(&config).map_err(Error::settings(path))?;
    let max_connections = max_connections(&config);
    let core = Core::new(&config, settings, max_connections)?;
    let directory = shared_directory(&config);
    let admin = Arc::new(AdminService::new(
        core.exchange.clone(),
        core.pools.clone(),
        core.endpoint_ids.clone(),
        directory.clone(),
    ));
    admin.set_names(Names { classes: numbering.class_names(), plans: numbering.plan_names() });
    let admin_listener = start_admin_listener(&config, &admin)?;
    core.announce_cached_list(&config);
    let (watch, first_list) = core.start_watch(&config);
    let front = core.create_front(&config, &numbering, max_connections, admin_listener);
    core.start_timers(&front, &watch);
    let Core { exchange, pools, counter, endpoint_ids } = core;
    let hot_restart = HotRestart::new(admin.clone(), exchange, pools, endpoint_ids, front.clone());
    // An agent that does not answer has announced nothing: then the cached list has to do.
    let _ = first_list.recv_timeout(FIRST_LIST_TIMEOUT);
    let predecessor = directory.as_deref().and_then(|directory| take_over(&hot_restart, directory));
    let (listener, predecessor) = match predecessor {
        Some((listener, predecessor)) => (listener, Some(predecessor)),
        None => {
            admin.restore_ejections();
            let address = config.listen;
            (Listener::bind(address).map_err(|source| Error::Listen { address, source })?, None)
        }
    };
    let listener = Arc::new(listener);
    if let Some(directory) = &directory {
        await_successors(&hot_restart, directory, &listener);
    }
    front.set_ready();
    admin.set_ready();
    tracing::info!("{}: serving on {}", config.name, listener.local_address()?);
    let (accepting, accepts_from) = (front.clone(), listener.clone());
    spawn(move || accepting.run(&accepts_from));
    if let Some(predecessor) = predecessor {
        hot_restart.follow_predecessor(predecessor);
    }
    let in_force = Mutex::new(InForce { keys, numbering });
    let longest_deadline_us = AtomicU64::new(config_file::longest_deadline_us(&config));
    Ok(Running { front, listener, watch, counter, admin, hot_restart, in_force, longest_deadline_us })
}

/// Connections to clients and backends together.
fn max_connections(config: &PlatformConfig) -> usize {
    let reserved = RESERVED_SOCKETS + config.admin.map_or(0, |_| ADMIN_SOCKETS);
    config.max_sockets.saturating_sub(reserved).max(MIN_SOCKETS)
}

/// Only a process with an admin listener can be asked whether it is ready, and so be started beside another.
fn shared_directory(config: &PlatformConfig) -> Option<PathBuf> {
    config.admin.and_then(|_| std::env::var_os(SHARED_DIRECTORY_VARIABLE)).map(PathBuf::from)
}

fn start_admin_listener(
    config: &PlatformConfig,
    admin: &Arc<AdminService>,
) -> Result<Option<AdminListener>, Error> {
    let Some(address) = config.admin else { return Ok(None) };
    let listener = AdminListener::start(address, admin.clone())
        .map_err(|source| Error::AdminListener { address, source })?;
    tracing::info!("{}: operators are answered on {}", config.name, listener.address);
    Ok(Some(listener))
}

/// Takes over from the process that serves with this directory, if there is one.
fn take_over(hot_restart: &Arc<HotRestart>, directory: &Path) -> Option<(Listener, Arc<Peer>)> {
    let predecessor = hot_restart::connect(directory)?;
    hot_restart.admin.set_peer(Some(predecessor.clone()));
    match hot_restart.take_over(&predecessor) {
        Ok(listener) => Some((listener, predecessor)),
        Err(error) => {
            tracing::info!("upgrade: nothing was taken over ({error}); starting without it");
            None
        }
    }
}

/// Hands over to whoever connects in this directory.
fn await_successors(hot_restart: &Arc<HotRestart>, directory: &Path, listener: &Arc<Listener>) {
    match UpgradeSocket::bind(directory) {
        Ok(socket) => hot_restart.serve_successors(socket, listener),
        Err(error) => tracing::warn!("upgrade: the next program cannot call this one: {error}"),
    }
}

impl Core {
    fn new(config: &PlatformConfig, settings: Settings, max_connections: usize) -> Result<Self, Error> {
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
        let endpoint_ids = Arc::new(Mutex::new(EndpointIds::new(config)));
        Ok(Self { exchange, pools, counter, endpoint_ids })
    }

    fn announce_cached_list(&self, config: &PlatformConfig) {
        let list = config.cached_list.clone();
        let revision = list.revision;
        let TranslatedList { entries, endpoints } = link::locked(&self.endpoint_ids).translate(list);
        tracing::info!("{}: {} backends known, version {revision}", config.name, endpoints.len());
        self.pools.update_endpoints(ListKind::Cached, &endpoints);
        self.exchange.update_endpoints(ListKind::Cached, entries);
    }

    /// Starts the watch on the endpoint list. The receiver hears of its first event.
    fn start_watch(&self, config: &PlatformConfig) -> (Arc<Watch>, Receiver<()>) {
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
    fn create_front(
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

    fn start_timers(&self, front: &Arc<Front>, watch: &Arc<Watch>) {
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
