//! Links for datagrams, and the queue of delayed datagrams.

use super::{Link, LinkQuality, Network, NodeId, POLL_INTERVAL};
use fault_harness::sync::lock;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of delayed datagrams; further ones are dropped.
const MAX_DELAYED: usize = 65_536;
/// Larger than any datagram that gatekeepers send.
const DATAGRAM_BUFFER: usize = 2048;
/// A reordered datagram is delayed by this, by the link's delay and by its maximum jitter, in addition to its usual latency.
const REORDER_DELAY: Duration = Duration::from_millis(5);

/// A datagram that waits for its delivery.
struct DelayedDatagram {
    due: Instant,
    /// Sequence number that orders datagrams with the same due time.
    sequence_number: u64,
    bytes: Vec<u8>,
    from: Arc<UdpSocket>,
    to: SocketAddr,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.sequence_number) == (other.due, other.sequence_number)
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDatagram {
    /// Reversed, so that the datagram that is due first is on top of the heap.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.due, other.sequence_number).cmp(&(self.due, self.sequence_number))
    }
}

/// The datagrams that wait for their delivery.
#[derive(Default)]
pub(super) struct DelayQueue {
    heap: Mutex<BinaryHeap<DelayedDatagram>>,
    changed: Condvar,
}

impl DelayQueue {
    pub(super) fn notify(&self) {
        self.changed.notify_all();
    }
}

impl Network {
    /// Registers the address from which a node sends datagrams.
    pub fn register_sender(&self, node: NodeId, address: SocketAddr) {
        lock(&self.0.senders).insert(address, node);
    }

    /// Opens a link for datagrams to a node that receives them at `target`. Returns the address of the link, at which the other
    /// nodes reach it.
    ///
    /// # Errors
    ///
    /// `listen_at` cannot be listened on.
    pub fn datagram_link(
        &self,
        to: NodeId,
        listen_at: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let socket = Arc::new(UdpSocket::bind(listen_at)?);
        let address = socket.local_addr()?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let network = self.clone();
        thread::spawn(move || {
            let mut random = network.random();
            let mut buffer = [0; DATAGRAM_BUFFER];
            while !network.is_shut_down() {
                // An error is a timeout, or reports that an earlier datagram had no receiver; later ones are not affected.
                let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
                let from = lock(&network.0.senders).get(&from).copied();
                let quality = from.map(|from| network.quality(Link::new(from, to))).unwrap_or_default();
                network.forward_datagram(&quality, &mut random, &buffer[..length], &socket, target);
            }
        });
        Ok(address)
    }

    fn forward_datagram(
        &self,
        quality: &LinkQuality,
        random: &mut fastrand::Rng,
        bytes: &[u8],
        socket: &Arc<UdpSocket>,
        target: SocketAddr,
    ) {
        let counters = &self.0.counters;
        if quality.cut || quality.closed || random.f64() < quality.loss_share {
            counters.dropped_datagrams.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let copies = 1 + usize::from(random.f64() < quality.duplicate_share);
        for _ in 0..copies {
            let mut latency = quality.latency(bytes.len(), random);
            if random.f64() < quality.reorder_share {
                latency += REORDER_DELAY + quality.delay + quality.jitter;
            }
            counters.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            counters.datagram_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            if latency.is_zero() {
                let _ = socket.send_to(bytes, target);
            } else {
                self.delay_datagram(latency, bytes.to_vec(), socket.clone(), target);
            }
        }
    }

    fn delay_datagram(&self, latency: Duration, bytes: Vec<u8>, from: Arc<UdpSocket>, to: SocketAddr) {
        let mut heap = lock(&self.0.delayed.heap);
        if heap.len() >= MAX_DELAYED {
            self.0.counters.dropped_datagrams.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let sequence_number = self.0.next_seed.fetch_add(1, Ordering::Relaxed);
        heap.push(DelayedDatagram { due: Instant::now() + latency, sequence_number, bytes, from, to });
        self.0.delayed.changed.notify_one();
    }

    /// Delivers delayed datagrams when they are due, until the network is shut down.
    pub(super) fn deliver_delayed(&self) {
        let queue = &self.0.delayed;
        let mut heap = lock(&queue.heap);
        while !self.is_shut_down() {
            let now = Instant::now();
            let wait =
                heap.peek().map_or(POLL_INTERVAL, |datagram| datagram.due.saturating_duration_since(now));
            if wait.is_zero() {
                if let Some(datagram) = heap.pop() {
                    let _ = datagram.from.send_to(&datagram.bytes, datagram.to);
                }
                continue;
            }
            heap = queue.changed.wait_timeout(heap, wait).map_or_else(|e| e.into_inner().0, |(heap, _)| heap);
        }
    }
}
