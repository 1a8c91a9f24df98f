//! Startup on the platform: creates the parts of the gatekeeper, connects them and starts them, and takes over from a
//! predecessor.

use super::config_file::{self, ConfigFile};
use super::core::{Core, StartedWatch};
use super::running::{ConfigInForce, LongestDeadline, Running};
use crate::admin_listener::AdminListener;
use crate::admin_service::AdminService;
use crate::error::Error;
use crate::hot_restart::{HotRestart, Predecessor};
use crate::operator_ejections::OperatorEjections;
use crate::start_retry::with_retries;
use front_resp::{Front, RespExchange};
use invariants::Guard;
use link::{Listener, spawn};
use settings::Numbering;
use settings::platform::PlatformConfig;
use std::path::{Path, PathBuf};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// File descriptors reserved for the listener, discovery, the counter's connections before and after a reload, the file read at
/// a reload, `may`, the signals and the standard streams: at most 19.
const RESERVED_SOCKETS: usize = 20;
/// Further descriptors that are reserved if an admin address is configured, for the admin listener and hot restarts.
const ADMIN_SOCKETS: usize = 5;
/// Minimum number of connections to clients and backends, however low the configured limit is.
const MIN_SOCKETS: usize = 16;
/// Timeout of a start for the first endpoint list and the fleet's clock. The cached list may be old, and a gatekeeper that
/// serves is expected to know each change that its discovery agent already has.
const SHARED_STATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the duration of a start. Exceeding it is a violated invariant.
const MAX_START_DURATION: Duration = Duration::from_secs(10);
/// Interval at which a start checks whether the fleet's clock has been read.
const FLEET_CLOCK_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Environment variable naming the directory that a process shares with its predecessor and successor.
const SHARED_DIRECTORY_VARIABLE: &str = "TMPDIR";

/// Starts serving with the configuration of the file `path`.
///
/// # Errors
///
/// An address cannot be listened on, or the policy rejects the settings.
pub(super) fn start(file: ConfigFile, path: &Path) -> Result<Running, Error> {
    let started = Instant::now();
    let ConfigFile { config, keys } = file;
    let mut numbering = Numbering::default();
    let settings = numbering.update(&config).map_err(Error::settings(path))?;
    let max_connections = max_connections(&config);
    let core = Core::new(&config, settings, max_connections)?;
    let directory = shared_directory(&config);
    let ejections = Arc::new(core.create_operator_ejections(directory.clone()));
    let admin = Arc::new(core.create_admin_service(&numbering, ejections.clone()));
    let admin_listener = start_admin_listener(&config, &admin)?;
    core.apply_cached_list(&config);
    let StartedWatch { watch, first_event } = core.start_watch(&config);
    let front = core.create_front(&config, &numbering, max_connections, admin_listener);
    core.start_timers(&front, &watch);
    let Core { exchange, pools, counter, endpoint_ids } = core;
    let hot_restart = HotRestart::new(
        admin.clone(),
        ejections.clone(),
        exchange.clone(),
        pools.clone(),
        endpoint_ids,
        front.clone(),
    );
    wait_for_shared_state(&first_event, &exchange);
    let predecessor = directory.as_deref().and_then(|directory| hot_restart.take_over(directory));
    let (listener, predecessor) = match predecessor {
        Some(Predecessor { listener, peer }) => (listener, Some(peer)),
        None => (bind_listener(&config, &ejections)?, None),
    };
    let listener = Arc::new(listener);
    if let Some(directory) = directory {
        hot_restart.accept_successors(directory, &listener);
    }
    serve(&front, &admin, &listener, &config)?;
    check_start_duration(started.elapsed());
    if let Some(predecessor) = predecessor {
        hot_restart.adopt_connections_of(predecessor);
    }
    Ok(Running {
        exchange,
        pools,
        front,
        listener,
        watch,
        counter,
        admin,
        hot_restart,
        config_in_force: Mutex::new(ConfigInForce { keys, numbering }),
        longest_deadline: LongestDeadline::new(config_file::longest_deadline(&config)),
    })
}

/// Waits up to [`SHARED_STATE_TIMEOUT`] for the first endpoint list and the fleet's clock. The cached list stays in force if
/// the discovery agent is unreachable, and this process's own clock if the counter is unreachable.
fn wait_for_shared_state(first_event: &Receiver<()>, exchange: &RespExchange) {
    let deadline = Instant::now() + SHARED_STATE_TIMEOUT;
    // If discovery sends no list in time, the cached list stays in force.
    let _ = first_event.recv_timeout(SHARED_STATE_TIMEOUT);
    while !exchange.has_read_fleet_clock() && Instant::now() < deadline {
        std::thread::sleep(FLEET_CLOCK_POLL_INTERVAL);
    }
}

fn check_start_duration(elapsed: Duration) {
    invariants::check(
        Guard::Starting,
        elapsed < MAX_START_DURATION,
        format_args!("the start took {elapsed:?}"),
    );
}

/// Limit on connections to clients and backends together.
fn max_connections(config: &PlatformConfig) -> usize {
    let reserved = RESERVED_SOCKETS + config.admin.map_or(0, |_| ADMIN_SOCKETS);
    config.max_sockets.saturating_sub(reserved).max(MIN_SOCKETS)
}

/// The directory for hot restarts. `None` without an admin listener, since nobody could ask the successor whether it is
/// ready.
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

/// Binds a new listener, and restores the ejections that an earlier process stored.
fn bind_listener(config: &PlatformConfig, ejections: &OperatorEjections) -> Result<Listener, Error> {
    ejections.restore();
    let address = config.listen;
    with_retries(|| Listener::bind(address)).map_err(|source| Error::Listen { address, source })
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
    let (accepting_front, client_listener) = (front.clone(), listener.clone());
    spawn(move || accepting_front.accept_connections(&client_listener));
    Ok(())
}
