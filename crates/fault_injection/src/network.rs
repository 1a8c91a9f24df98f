//! Links between nodes. All traffic between two nodes passes through a link, and each direction of each pair of nodes can be
//! degraded separately.

mod backlog;
mod datagram_link;
mod link;
mod stream_link;

#[cfg(test)]
mod tests;

pub use link::{Link, LinkFault, LinkQuality, NodeId};

use backlog::Backlog;
use datagram_link::DelayQueue;
use fault_harness::sync::lock;
use link::LinkStates;
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a waiting thread checks whether its link is closed or the network is shut down.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a connect on loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Traffic counters of all links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes of streams and datagrams that the links carried.
    pub bytes: u64,
    /// Datagrams that were dropped by a cut, by loss or by a full queue.
    pub dropped_datagrams: u64,
    /// Connections that were reset within a chunk.
    pub resets: u64,
}

impl std::ops::AddAssign for Traffic {
    fn add_assign(&mut self, other: Self) {
        self.bytes += other.bytes;
        self.dropped_datagrams += other.dropped_datagrams;
        self.resets += other.resets;
    }
}

#[derive(Debug, Default)]
struct TrafficCounters {
    bytes: AtomicU64,
    /// The part of `bytes` that datagrams make up.
    datagram_bytes: AtomicU64,
    dropped_datagrams: AtomicU64,
    resets: AtomicU64,
}

/// All links of a site. Clones share the links.
#[derive(Clone)]
pub struct Network(Arc<Shared>);

struct Shared {
    links: Mutex<LinkStates>,
    links_changed: Condvar,
    delayed: DelayQueue,
    /// The node that sends datagrams from an address.
    senders: Mutex<HashMap<SocketAddr, NodeId>>,
    /// Addresses of clients whose connection was accepted by a link and then refused by the link's target.
    refused: Mutex<HashSet<SocketAddr>>,
    backlogs: Mutex<Vec<Arc<Backlog>>>,
    /// Connections that fill the backlog of a cut link, by the link's listen address and their own local address, since several
    /// links may be reached from the same port. Each is kept open until it is accepted, so that no client can get its port.
    fillers: Mutex<HashMap<(SocketAddr, SocketAddr), TcpStream>>,
    /// Listen addresses of the accepting threads; at the shutdown, a connection to each address wakes its thread.
    listening: Mutex<Vec<SocketAddr>>,
    counters: TrafficCounters,
    next_seed: AtomicU64,
    shut_down: AtomicBool,
}

impl Network {
    /// A network whose links are all healthy. The random numbers of its links are seeded with `seed` and the numbers after it.
    pub fn new(seed: u64) -> Self {
        let network = Self(Arc::new(Shared {
            links: Mutex::default(),
            links_changed: Condvar::new(),
            delayed: DelayQueue::default(),
            senders: Mutex::default(),
            refused: Mutex::default(),
            backlogs: Mutex::default(),
            fillers: Mutex::default(),
            listening: Mutex::default(),
            counters: TrafficCounters::default(),
            next_seed: AtomicU64::new(seed),
            shut_down: AtomicBool::new(false),
        }));
        let deliverer = network.clone();
        thread::spawn(move || deliverer.deliver_delayed());
        network
    }

    fn random(&self) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.0.next_seed.fetch_add(1, Ordering::Relaxed))
    }

    /// Degrades these links until [`Network::heal`] is called with the same fault id.
    pub fn inject(&self, fault_id: u64, faults: Vec<LinkFault>) {
        lock(&self.0.links).inject(fault_id, faults);
        self.notify_links_changed();
    }

    /// Ends the fault with this id; the links keep the effects of other faults.
    pub fn heal(&self, fault_id: u64) {
        lock(&self.0.links).heal(fault_id);
        self.notify_links_changed();
    }

    fn notify_links_changed(&self) {
        self.0.links_changed.notify_all();
        self.update_backlogs();
    }

    /// The current quality of a link, with all faults on it combined.
    pub fn quality(&self, link: Link) -> LinkQuality {
        lock(&self.0.links).quality(link)
    }

    /// Whether the link is cut in at least one direction, so that no connection can be established.
    fn is_cut(&self, link: Link) -> bool {
        let links = lock(&self.0.links);
        links.quality(link).cut || links.quality(link.reversed()).cut
    }

    /// Traffic of all links since the start.
    pub fn traffic(&self) -> Traffic {
        let counters = &self.0.counters;
        Traffic {
            bytes: counters.bytes.load(Ordering::Relaxed),
            dropped_datagrams: counters.dropped_datagrams.load(Ordering::Relaxed),
            resets: counters.resets.load(Ordering::Relaxed),
        }
    }

    /// Bytes of datagrams that the links have carried since the start.
    pub fn datagram_bytes(&self) -> u64 {
        self.0.counters.datagram_bytes.load(Ordering::Relaxed)
    }

    /// Shuts all links and listeners down for good.
    pub fn shut_down(&self) {
        self.0.shut_down.store(true, Ordering::Relaxed);
        let wake = |address| drop(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT));
        lock(&self.0.listening).drain(..).for_each(wake);
        self.0.links_changed.notify_all();
        self.0.delayed.notify();
    }

    fn is_shut_down(&self) -> bool {
        self.0.shut_down.load(Ordering::Relaxed)
    }

    /// Listens at an address and serves each connection in a thread, until the network is shut down.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn listen(
        &self,
        address: SocketAddr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let serve = Arc::new(serve);
        self.accept(listener, None, move |stream| {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        });
        Ok(address)
    }

    /// Accepts connections in a thread. While the given link is cut, accepted connections wait.
    fn accept(&self, listener: TcpListener, link: Option<Link>, handle: impl Fn(TcpStream) + Send + 'static) {
        let Ok(address) = listener.local_addr() else { return };
        lock(&self.0.listening).push(address);
        let network = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if let Some(link) = link {
                    network.wait_while(|| network.is_cut(link));
                }
                if network.is_shut_down() {
                    return;
                }
                if !network.is_filler(address, &stream) {
                    handle(stream);
                }
            }
        });
    }

    /// Waits while the condition holds and the network is not shut down.
    fn wait_while(&self, condition: impl Fn() -> bool) {
        while condition() && !self.is_shut_down() {
            let links = lock(&self.0.links);
            drop(self.0.links_changed.wait_timeout(links, POLL_INTERVAL));
        }
    }
}
