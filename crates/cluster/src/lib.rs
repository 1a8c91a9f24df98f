//! Drives what the pure crates decide: `membership` over UDP, `duties` and `claims` over Consul's HTTP API or in the
//! process, and the runs themselves, calls and probes.
//!
//! One thread, the brain, owns all state and is fed through one bounded queue; a thread hears datagrams; a few make calls
//! to the store and a few carry out runs, each from a bounded queue of its own, so that a slow target never holds up
//! a claim. Nothing here runs on the program's `may` worker. Without a `[cluster]` table in the operator's file there is
//! no listener, and without duties and probes none of these threads is started.

mod brain;
mod net;
mod tell;
mod work;

use membership::authentication::Keyring;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use brain::{Brain, Event};

/// Events that may wait for the brain.
const MOST_EVENTS: usize = 4_096;
/// Threads that call the store.
const CALLERS: usize = 4;

/// How this instance takes part.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Gossip; without it this instance is alone.
    pub gossip: Option<Gossip>,
    /// Where claims are made.
    pub store: StoreAt,
    /// Members that step in behind the first for a duty.
    pub standbys: usize,
    /// The most milliseconds that clocks may differ.
    pub skew: u64,
    /// Milliseconds added to this instance's wall clock: to see in tests what a wrong clock does.
    pub clock_offset: i64,
    /// Runs that may be under way at once.
    pub runners: usize,
    /// Probing of destinations.
    pub probes: Option<Probes>,
}

/// How gossip goes.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// Where it is heard (UDP).
    pub listen: SocketAddr,
    /// Where the others reach it.
    pub advertise: SocketAddr,
    /// Where others may be found.
    pub peers: Vec<SocketAddr>,
    /// What seals the datagrams.
    pub keys: Keyring,
    /// Milliseconds between two rounds of gossip.
    pub period: u64,
    /// Milliseconds from suspicion to giving a member up.
    pub suspect: u64,
}

/// Where claims are made.
#[derive(Clone, Debug)]
pub enum StoreAt {
    /// In this process: one box alone.
    Local,
    /// In Consul's KV store.
    Consul {
        /// Its HTTP API.
        address: SocketAddr,
        /// In front of all keys.
        prefix: String,
        /// A call is given up after this.
        timeout: Duration,
        /// The file with the ACL token, if calls need one: it may write below `prefix`, and make and read sessions.
        token_file: Option<PathBuf>,
    },
}

/// How destinations are probed.
#[derive(Clone, Debug)]
pub struct Probes {
    /// What is asked of each.
    pub path: String,
    /// Within which it must answer 200 to 299.
    pub timeout: Duration,
    /// Period, thresholds and the share that may be out.
    pub rules: health_check::Config,
}

/// A duty that is an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its name.
    pub name: String,
    /// Milliseconds from round to round.
    pub period: u64,
    /// What is called, by POST.
    pub url: String,
    /// Within which it must answer.
    pub timeout: Duration,
}

/// Told of the ids of the destinations that get no new work by their probes, whenever these change.
pub type OnOut = Box<dyn Fn(&BTreeSet<String>) + Send>;

/// The running part.
#[derive(Debug)]
pub struct Cluster {
    events: SyncSender<Event>,
    offset: Arc<AtomicI64>,
}

/// The clocks of this instance.
#[derive(Clone, Debug)]
pub(crate) struct Clocks {
    start: Instant,
    offset: Arc<AtomicI64>,
}

impl Clocks {
    pub(crate) fn now(&self) -> periodic_jobs::Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        periodic_jobs::Now {
            wall: wall.saturating_add_signed(self.offset.load(Ordering::Relaxed)),
            mono: self.start.elapsed().as_millis() as u64,
        }
    }
}

impl Cluster {
    /// Starts taking part.
    ///
    /// # Errors
    ///
    /// The gossip's address cannot be used.
    pub fn start(settings: Settings, calls: Vec<Call>, on_out: OnOut) -> io::Result<Arc<Self>> {
        let offset = Arc::new(AtomicI64::new(settings.clock_offset));
        let clocks = Clocks { start: Instant::now(), offset: offset.clone() };
        let (events, inbox) = sync_channel(MOST_EVENTS);
        let dropped = Arc::new(AtomicU64::new(0));
        let socket = match &settings.gossip {
            Some(gossip) => {
                let socket = Arc::new(UdpSocket::bind(gossip.listen)?);
                net::hear(socket.clone(), events.clone(), dropped.clone());
                Some(socket)
            }
            None => None,
        };
        let store = work::store_pool(&settings, CALLERS, &events);
        let runs = work::run_pool(&settings, clocks.clone(), &events);
        let brain = Brain::new(settings, clocks, socket, store, runs, on_out, dropped);
        thread::Builder::new().name("cluster".into()).spawn(move || brain.run(&inbox, calls))?;
        Ok(Arc::new(Self { events, offset }))
    }

    /// Takes another list of calls.
    pub fn set_calls(&self, calls: Vec<Call>) {
        self.post(Event::Calls(calls));
    }

    /// Takes other keys.
    pub fn set_keys(&self, keys: Keyring) {
        self.post(Event::Keys(keys));
    }

    /// Sets the wall clock so many milliseconds off, for trials of clocks that are set.
    pub fn set_clock_offset(&self, ms: i64) {
        self.offset.store(ms, Ordering::Relaxed);
    }

    /// Takes the fleet as it is now: ids and addresses.
    pub fn set_fleet(&self, fleet: Vec<(String, SocketAddr)>) {
        self.post(Event::Fleet(fleet));
    }

    /// Asks for what the console shows. The text comes a moment later, or never where the brain is stuck: whoever asks
    /// from a coroutine looks for it now and then and does not wait on it.
    pub fn ask_report(&self) -> Receiver<String> {
        let (tell, told) = sync_channel(1);
        let _ = self.events.try_send(Event::Report(tell));
        told
    }

    /// Leaves: the others take its duties over at once, and its session ends.
    pub fn leave(&self) {
        let (tell, told) = sync_channel(1);
        if self.events.try_send(Event::Leave(tell)).is_ok() {
            let _ = told.recv_timeout(Duration::from_secs(1));
        }
    }

    fn post(&self, event: Event) {
        // Only these few callers wait for room; datagrams never do.
        let _ = self.events.send(event);
    }
}

/// Puts a datagram into the queue, or drops it: gossip is made for that.
pub(crate) fn offer(events: &SyncSender<Event>, dropped: &AtomicU64, datagram: Vec<u8>) -> bool {
    match events.try_send(Event::Datagram(datagram)) {
        Ok(()) => true,
        Err(TrySendError::Full(_)) => {
            dropped.fetch_add(1, Ordering::Relaxed);
            true
        }
        Err(TrySendError::Disconnected(_)) => false,
    }
}
