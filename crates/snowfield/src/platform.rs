//! One gatekeeper on the platform: its configuration, the RESP2 front, discovery and the counter.

use crate::desk::Desk;
use crate::door;
use crate::hosts::Hosts;
use crate::{log, signals, upgrade};
use counter::CounterClient;
use destination::{BackendPools, Limits, RespProtocol};
use discovery::{PollBackoff, Watch, WatchEvent};
use exchange::{Clock, Exchange};
use front_resp::{ClassRule, Front, Rules};
use handover::UpgradeSocket;
use link::{Listener, spawn, spawn_with};
use policy::{Idempotency, ListKind, Micros};
use settings::platform::PlatformConfig;
use settings::{KeySet, NumberedClass, Numbering};
use std::io::Read;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Descriptors kept for the listener, discovery, the counter with its lanes before and after a reload, the file that is
/// read at a reload, `may`, the signals and the standard streams: 19 at the most.
const SPARE_SOCKETS: usize = 20;
/// Descriptors of the operators' door itself, where there is one, and of upgrades.
const DOOR_SOCKETS: usize = 5;
/// Descriptors that stay free for callers who are yet to come.
const MORE_CALLERS: usize = 4;

/// Part of the memory that answers which are passed on as they come may hold together.
const STREAMS_PART: usize = 4;
/// How long a program waits for its first list before it serves: the one that it knows may be of long ago, and what the agent
/// has counts as told from the first moment on.
const FIRST_LIST: Duration = Duration::from_millis(500);

/// Reads the configuration, serves until a signal, and answers what was taken.
///
/// # Errors
///
/// The text says what is missing or cannot be used.
pub fn run() -> Result<(), String> {
    // Before all else: SIGHUP must not end the program, however early it comes.
    let caught = signals::catch()?;
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG names no configuration file")?;
    let (mut config, shape) = read(&path)?;
    log::begin(log::Form::Plain)?;
    if let Ok(at) = std::env::var("BALANCER_OPERATOR") {
        let at = at.parse().map_err(|_| format!("BALANCER_OPERATOR: {at:?} is no address and port"))?;
        config.admin = Some(at);
    }
    link::set_up();
    let parts = start(config, shape)?;
    signals::serve_until(caught, &parts.door, &Serving { parts: &parts, path: &path });
    Ok(())
}

/// What signals act on, and the file that SIGHUP reads.
struct Serving<'a> {
    parts: &'a Parts,
    path: &'a str,
}

impl signals::Serving for Serving<'_> {
    fn reload(&self) {
        let taken = self.parts.reload(self.path);
        if let Err(text) = &taken {
            tracing::warn!("reload: {text}; the old settings stay");
        }
        self.parts.desk.reloaded(taken.is_ok());
    }

    /// Clients may call a gatekeeper for seconds that is gone, so it serves for as long as it can answer before it is killed.
    fn begin_end(&self) -> Duration {
        if self.parts.upgrade.has_given() {
            return signals::OVERLAP;
        }
        let killed = self.longest().min(LONGEST_WAIT) + KILLED_AFTER;
        let answered = killed.saturating_sub(BEFORE_KILL);
        self.parts.upgrade.exchange.answer_all_within(answered);
        answered.saturating_sub(LAST_TAKEN).max(signals::OVERLAP)
    }

    /// A long value may take its client seconds.
    fn must_close(&self) -> bool {
        self.parts.upgrade.has_given() || self.parts.upgrade.exchange.open_streams() > 0
    }

    fn close(&self) {
        self.parts.desk.set_ending();
        self.parts.front.close();
    }

    fn open(&self) -> usize {
        self.parts.front.open() + self.parts.upgrade.passing.load(Ordering::Acquire)
    }

    fn longest(&self) -> Duration {
        Duration::from_micros(self.parts.longest.load(Ordering::Relaxed))
    }
}

/// SIGKILL comes no sooner after SIGTERM than the longest deadline, of which no more than this counts, and so much later.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// All that is taken after SIGTERM is answered so long before SIGKILL: a busy worker may be late by that.
const BEFORE_KILL: Duration = Duration::from_millis(150);
/// Nothing new is taken for so long before that: what is taken last should still be served, and most is within this.
const LAST_TAKEN: Duration = Duration::from_millis(600);

/// The most bytes of a configuration.
const LARGEST_FILE: u64 = 16 * 1024 * 1024;

fn read(path: &str) -> Result<(PlatformConfig, KeySet), String> {
    let named = |e: &dyn std::fmt::Display| format!("{path}: {e}");
    let mut json = Vec::new();
    let file = std::fs::File::open(path).map_err(|e| named(&e))?;
    file.take(LARGEST_FILE + 1).read_to_end(&mut json).map_err(|e| named(&e))?;
    if json.len() as u64 > LARGEST_FILE {
        return Err(named(&"it is too long"));
    }
    let shape = KeySet::of(&mut json.clone()).map_err(|e| named(&e))?;
    Ok((PlatformConfig::parse(&mut json).map_err(|e| named(&e))?, shape))
}

/// What the settings ask of a request.
fn rules(config: &PlatformConfig, tables: &Numbering) -> Rules {
    let classes = tables.classes().map(|NumberedClass { number, name, class }| ClassRule {
        name: name.to_owned(),
        number: number as u16,
        repeatable: class.idempotency == Idempotency::Idempotent,
        deadline_ms: class.deadline.div_ceil(1000),
    });
    Rules {
        classes: classes.collect(),
        plans: tables.plans().map(|plan| (plan.name.to_owned(), plan.number as u32)).collect(),
        gatekeepers: u64::from(config.settings.gatekeepers),
        largest: config.max_units,
    }
}

/// How long a connection may take to be made, and to be idle.
fn spans(config: &PlatformConfig) -> (Duration, Duration) {
    (Duration::from_micros(config.settings.connect_timeout), Duration::from_micros(config.keepalive / 2))
}

fn longest(config: &PlatformConfig) -> Micros {
    config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
}

/// What signals act on.
struct Parts {
    front: Arc<Front>,
    door: Arc<Listener>,
    watch: Arc<Watch>,
    counter: Option<Arc<CounterClient>>,
    desk: Arc<Desk>,
    upgrade: Arc<upgrade::Parts>,
    /// The keys of the file in force, and its classes and plans with those before.
    in_force: Mutex<(KeySet, Numbering)>,
    /// us; the longest deadline of all files so far: what was taken under an older one may still be open.
    longest: AtomicU64,
}

impl Parts {
    /// Takes the file as it is now, all of it or nothing. Runs on a thread of its own, with room for reading JSON, while the
    /// worker serves on.
    fn reload(&self, path: &str) -> Result<(), String> {
        let (config, shape) = read(path)?;
        let mut in_force = link::locked(&self.in_force);
        in_force.0.check_kept_by(&shape).map_err(|e| format!("{path}: {e}"))?;
        let mut tables = in_force.1.clone();
        let mut settings = tables.update(&config).map_err(|e| format!("{path}: {e}"))?;
        settings.shared_counter &= self.counter.is_some();
        let (connect, idle) = spans(&config);
        let columns = settings.load_metrics.clone();
        self.upgrade.exchange.update_settings(settings).map_err(|e| format!("{path}: {e}"))?;
        // A class has its name before anything of it can end, and is let in last.
        self.desk.set_names(tables.class_names(), tables.plan_names());
        self.upgrade.pools.set_timeouts(connect, idle);
        self.upgrade.pools.protocol().set_columns(&columns);
        self.longest.fetch_max(longest(&config), Ordering::Relaxed);
        self.front.set_rules(rules(&config, &tables));
        let names: Vec<&str> = tables.classes().map(|class| class.name).collect();
        tracing::info!("reload: settings taken; classes {}", names.join(", "));
        let discovery = if self.watch.set_address(config.discovery) { "moved to" } else { "stays at" };
        tracing::info!("reload: discovery {discovery} {}", config.discovery);
        match (&self.counter, config.counter) {
            (Some(client), Some(at)) => {
                let counter = if client.set_address(at) { "moved to" } else { "stays at" };
                tracing::info!("reload: the counter {counter} {at}");
            }
            (None, Some(at)) => tracing::info!("reload: a counter at {at} is used only after a restart"),
            // A file that lost its counter was turned down above.
            (_, None) => {}
        }
        *in_force = (shape, tables);
        Ok(())
    }
}

fn start(config: PlatformConfig, shape: KeySet) -> Result<Parts, String> {
    let clock = Clock::start();
    let spare = SPARE_SOCKETS + config.admin.map_or(0, |_| DOOR_SOCKETS);
    let sockets = config.max_sockets.saturating_sub(spare).max(16);
    let mut tables = Numbering::default();
    let settings = tables.update(&config).map_err(|e| e.to_string())?;
    let (longest, (connect, idle)) = (AtomicU64::new(longest(&config)), spans(&config));
    let limits = Limits {
        connect_timeout: connect,
        idle_timeout: idle,
        max_connections: sockets / 3,
        max_answer_bytes: resp::LARGEST_MESSAGE,
        stream_budget_bytes: config.max_memory_bytes / STREAMS_PART,
    };
    let rules = rules(&config, &tables);
    let protocol = RespProtocol::new(&settings.load_metrics);
    let exchange = Exchange::new(settings, config.seed, clock).map_err(|e| e.to_string())?;
    let pools = BackendPools::new(protocol, limits);
    pools.set_exchange(exchange.clone());
    let counter = config.counter.map(|at| CounterClient::for_exchange(at, exchange.clone()));
    let calls = counter.clone().map(|c| c as Arc<dyn exchange::QuotaCounter>);
    exchange.connect(pools.clone(), calls);

    let hosts = Arc::new(Mutex::new(Hosts::new(&config)));
    // Only who is operated can be asked whether it is ready, and so be started beside another.
    let folder = config.admin.and_then(|_| std::env::var_os("TMPDIR")).map(PathBuf::from);
    let desk = Arc::new(Desk::new(exchange.clone(), pools.clone(), hosts.clone(), folder.clone()));
    desk.set_names(tables.class_names(), tables.plan_names());
    let mut callers = None;
    if let Some(at) = config.admin {
        let open = door::open(at, desk.clone()).map_err(|e| format!("operator {at}: {e}"))?;
        tracing::info!("{}: operators are answered on {}", config.name, open.address);
        callers = Some(open);
    }
    let rev = config.cached_list.revision;
    let (entries, places) = link::locked(&hosts).translate(config.cached_list);
    tracing::info!("{}: {} destinations known, version {rev}", config.name, places.len());
    pools.update_endpoints(ListKind::Cached, &places);
    exchange.update_endpoints(ListKind::Cached, entries);

    let watch = Watch::new(config.discovery);
    let (watching, told_pools, told, known_hosts) =
        (watch.clone(), pools.clone(), exchange.clone(), hosts.clone());
    let (tell, first_list) = sync_channel(1);
    let backoff = PollBackoff::new(config.seed, config.settings.polls_endpoints);
    spawn_with(link::LARGE_STACK, move || {
        watching.run(rev, backoff, |event| {
            if let WatchEvent::EndpointList(list) = event {
                let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
                let (entries, places) = link::locked(&known_hosts).translate(list);
                told_pools.update_endpoints(kind, &places);
                told.update_endpoints(kind, entries);
            }
            // Only the first is waited for.
            let _ = tell.try_send(());
        });
    });
    // Attempts take few connections, clients hold on to many: a client connection may use any descriptor that no attempt
    // uses, but for some that stay free for these.
    let (room, kept) = (pools.clone(), sockets / 6);
    let front = Front::new(exchange.clone(), rules, config.max_memory_bytes, move || {
        // Some callers always find a descriptor; the others wait until a client's has become free.
        let callers = callers.as_ref().map_or(0, |c| (c.count() + MORE_CALLERS).min(door::MOST_CALLERS));
        sockets.saturating_sub(kept.max(room.open_connections() + kept / 6) + callers)
    });
    let (swept_front, swept_watch, swept_counter) = (front.clone(), watch.clone(), counter.clone());
    let (timed, swept_pools) = (exchange.clone(), pools.clone());
    crate::clock::run(timed, move || {
        swept_pools.sweep();
        swept_front.sweep();
        swept_watch.close_if_silent();
        if let Some(counter) = &swept_counter {
            counter.close_silent_connections();
        }
    });

    let upgrade = Arc::new(upgrade::Parts {
        desk: desk.clone(),
        exchange,
        pools,
        hosts,
        front: front.clone(),
        passing: Default::default(),
    });
    // An agent that does not answer has told nothing: then the list that is known has to do.
    let _ = first_list.recv_timeout(FIRST_LIST);
    let mut taken = None;
    if let Some(old) = folder.as_deref().and_then(upgrade::call) {
        desk.set_peer(Some(old.clone()));
        match upgrade.take(&old) {
            Ok(door) => taken = Some((door, old)),
            Err(why) => tracing::info!("upgrade: nothing was taken over ({why}); starting without it"),
        }
    }
    if taken.is_none() {
        desk.restore();
    }
    let (door, old) = match taken {
        Some((door, old)) => (door, Some(old)),
        None => (Listener::bind(config.listen).map_err(|e| format!("{}: {e}", config.listen))?, None),
    };
    let door = Arc::new(door);
    if let Some(folder) = &folder {
        match UpgradeSocket::bind(folder) {
            Ok(place) => upgrade.give_way(place, &door),
            Err(why) => tracing::warn!("upgrade: the next program cannot call this one: {why}"),
        }
    }
    front.set_ready();
    desk.set_ready();
    tracing::info!("{}: serving on {}", config.name, door.local_address().map_err(|e| e.to_string())?);
    let (accepting, entrance) = (front.clone(), door.clone());
    spawn(move || accepting.run(&entrance));
    if let Some(old) = old {
        upgrade.follow(old);
    }
    let in_force = Mutex::new((shape, tables));
    Ok(Parts { front, door, watch, counter, desk, upgrade, in_force, longest })
}
