//! The start on the platform: each part is created, connected to the others, and started; a process that serves is taken over
//! from.

use super::config_file::{self, ConfigFile};
use super::core::Core;
use super::reload::InForce;
use crate::admin_listener::AdminListener;
use crate::admin_service::AdminService;
use crate::error::Error;
use crate::hot_restart::{self, HotRestart};
use crate::start_retry::with_retries;
use counter::CounterClient;
use discovery::Watch;
use front_resp::Front;
use handover::{Peer, UpgradeSocket};
use invariants::Guard;
use link::{Listener, spawn};
use settings::Numbering;
use settings::platform::PlatformConfig;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Descriptors kept for the listener, discovery, the counter with its lanes before and after a reload, the file that is read at
/// a reload, `may`, the signals and the standard streams: 19 at the most.
const RESERVED_SOCKETS: usize = 20;
/// Descriptors of the admin listener itself, where there is one, and of hot restarts.
const ADMIN_SOCKETS: usize = 5;
/// Connections to clients and backends that are always allowed.
const MIN_SOCKETS: usize = 16;
/// How long a process waits for its first list before it serves: the cached one may be old, and what the agent has counts as
/// known from the first moment on.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// A restarted process serves within this.
const START_LIMIT: Duration = Duration::from_secs(10);
/// How often a start looks whether the fleet's clock has been read.
const FLEET_CLOCK_CHECK: Duration = Duration::from_millis(2);
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

/// Starts serving by the file `path`.
///
/// # Errors
///
/// An address cannot be listened on, or the policy cannot work by the settings.
pub(super) fn start(file: ConfigFile, path: &Path) -> Result<Running, Error> {
    let started = Instant::now();
    let ConfigFile { config, keys } = file;
    let mut numbering = Numbering::default();
    let settings = numbering.update(&config).map_err(Error::settings(path))?;
    let max_connections = max_connections(&config);
    let core = Core::new(&config, settings, max_connections)?;
    let directory = shared_directory(&config);
    let admin = Arc::new(core.create_admin_service(&numbering, directory.clone()));
    let admin_listener = start_admin_listener(&config, &admin)?;
    core.announce_cached_list(&config);
    let (watch, first_list) = core.start_watch(&config);
    let front = core.create_front(&config, &numbering, max_connections, admin_listener);
    core.start_timers(&front, &watch);
    let Core { exchange, pools, counter, endpoint_ids } = core;
    let hot_restart = HotRestart::new(admin.clone(), exchange, pools, endpoint_ids, front.clone());
    let waits_until = Instant::now() + FIRST_LIST_TIMEOUT;
    // An agent that does not answer has announced nothing: then the cached list has to do.
    let _ = first_list.recv_timeout(FIRST_LIST_TIMEOUT);
    // The same for the counter: then this process goes by its own clock until it answers.
    while !hot_restart.exchange.has_read_fleet_clock() && Instant::now() < waits_until {
        std::thread::sleep(FLEET_CLOCK_CHECK);
    }
    let (listener, predecessor) = open_listener(&hot_restart, directory.as_deref(), &config)?;
    let listener = Arc::new(listener);
    if let Some(directory) = &directory {
        await_successors(&hot_restart, directory, &listener);
    }
    serve(&front, &admin, &listener, &config)?;
    let took = started.elapsed();
    invariants::check(
        Guard::Starting,
        took < START_LIMIT,
        format_args!("it took {took:?} until this process served"),
    );
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
    let listener = with_retries(|| AdminListener::start(address, admin.clone()))
        .map_err(|source| Error::AdminListener { address, source })?;
    tracing::info!(name = config.name, address = %listener.address, "admin listener open");
    Ok(Some(listener))
}

/// The listener of a predecessor, if there is one; otherwise a new one, with the ejections that an earlier process has stored.
fn open_listener(
    hot_restart: &Arc<HotRestart>,
    directory: Option<&Path>,
    config: &PlatformConfig,
) -> Result<(Listener, Option<Arc<Peer>>), Error> {
    if let Some((listener, predecessor)) = directory.and_then(|directory| take_over(hot_restart, directory)) {
        return Ok((listener, Some(predecessor)));
    }
    hot_restart.admin.restore_ejections();
    let address = config.listen;
    let listener =
        with_retries(|| Listener::bind(address)).map_err(|source| Error::Listen { address, source })?;
    Ok((listener, None))
}

/// Starts accepting client connections.
fn serve(
    front: &Arc<Front>,
    admin: &AdminService,
    listener: &Arc<Listener>,
    config: &PlatformConfig,
) -> Result<(), Error> {
    front.set_ready();
    admin.set_ready();
    tracing::info!("{}: serving on {}", config.name, listener.local_address()?);
    let (accepting, accepts_from) = (front.clone(), listener.clone());
    spawn(move || accepting.run(&accepts_from));
    Ok(())
}

/// Takes over from the process that serves with this directory, if there is one.
fn take_over(hot_restart: &Arc<HotRestart>, directory: &Path) -> Option<(Listener, Arc<Peer>)> {
    let predecessor = hot_restart::connect(directory)?;
    hot_restart.admin.set_peer(Some(predecessor.clone()));
    match hot_restart.take_over(&predecessor) {
        Ok(listener) => Some((listener, predecessor)),
        Err(error) => {
            tracing::info!(%error, "hot restart failed, starting without the state of the predecessor");
            None
        }
    }
}

/// Hands over to whoever connects in this directory.
fn await_successors(hot_restart: &Arc<HotRestart>, directory: &Path, listener: &Arc<Listener>) {
    match UpgradeSocket::bind(directory) {
        Ok(socket) => hot_restart.serve_successors(socket, listener),
        Err(error) => {
            tracing::warn!(%error, "hot restart socket not usable, retrying");
            let (hot_restart, listener) = (hot_restart.clone(), listener.clone());
            let directory = directory.to_owned();
            std::thread::spawn(move || match with_retries(|| UpgradeSocket::bind(&directory)) {
                Ok(socket) => hot_restart.serve_successors(socket, &listener),
                Err(error) => tracing::warn!(%error, "hot restart socket not usable"),
            });
        }
    }
}
