//! Links for TCP connections; a thread carries each direction of a connection.

use super::{Link, LinkQuality, Network, POLL_INTERVAL};
use fault_harness::connections::{is_temporary, reset_on_close};
use fault_harness::sync::lock;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum number of bytes that are read at once. The rate limit and the latency apply to each such chunk.
const CHUNK: usize = 16 * 1024;
/// First retransmission timeout of a lost chunk. As in TCP, it doubles with each loss (RFC 6298 has 1 s, systems use 0.2 s).
const RETRANSMIT_AFTER: Duration = Duration::from_millis(200);
/// Upper bound of the loss rate, so that each chunk arrives eventually.
const MAX_LOSS: f64 = 0.9;

/// The two sockets of a connection that a link carries: the one that it accepted, and the one to its target.
struct ConnectionEnds {
    inbound: TcpStream,
    outbound: TcpStream,
    /// The link has reset the connection: an end of stream that is read from now on does not come from the peer.
    is_reset: AtomicBool,
}

impl ConnectionEnds {
    /// Resets both sockets. The resets are sent when the threads of both directions have dropped the sockets.
    fn reset(&self) {
        self.is_reset.store(true, Ordering::Release);
        reset_and_wake(&self.inbound);
        reset_and_wake(&self.outbound);
    }
}

/// Lets the closing of this socket reset its connection, and wakes a thread that waits to read from it.
fn reset_and_wake(stream: &TcpStream) {
    reset_on_close(stream);
    // Shutting the writing half down would send a regular end of stream before the reset.
    let _ = stream.shutdown(Shutdown::Read);
}

impl Network {
    /// Opens a link for TCP connections: the sender connects to `listen_at`, and the link connects to the receiver at `target`.
    /// Returns the address at which the link listens.
    ///
    /// # Errors
    ///
    /// `listen_at` cannot be listened on.
    pub fn stream_link(
        &self,
        link: Link,
        listen_at: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(listen_at)?;
        let address = listener.local_addr()?;
        self.register_backlog(link, &listener)?;
        let network = self.clone();
        self.accept(listener, Some(link), move |inbound| {
            let network = network.clone();
            thread::spawn(move || network.carry_connection(link, inbound, target));
        });
        Ok(address)
    }

    fn carry_connection(&self, link: Link, inbound: TcpStream, target: SocketAddr) {
        // While the link is cut, the sender must not learn whether the target accepts the connection.
        if !self.wait_until_open(link) {
            return reset_and_wake(&inbound);
        }
        let Ok(outbound) = TcpStream::connect(target) else {
            lock(&self.0.refused).extend(inbound.peer_addr());
            return reset_and_wake(&inbound);
        };
        let ends = Arc::new(ConnectionEnds { inbound, outbound, is_reset: AtomicBool::new(false) });
        let (network, reverse_ends) = (self.clone(), ends.clone());
        thread::spawn(move || {
            network.carry_direction(
                link.reversed(),
                &reverse_ends.outbound,
                &reverse_ends.inbound,
                &reverse_ends,
            )
        });
        self.carry_direction(link, &ends.inbound, &ends.outbound, &ends);
    }

    /// Whether the target of a link refused the connection from this address, which the link itself had accepted. Returns true
    /// once for each refusal.
    pub fn was_refused(&self, from: SocketAddr) -> bool {
        lock(&self.0.refused).remove(&from)
    }

    /// Waits until the link is not cut. Returns false if it is closed or the network is shut down.
    fn wait_until_open(&self, link: Link) -> bool {
        let mut links = lock(&self.0.links);
        loop {
            let quality = links.quality(link);
            if self.is_shut_down() || quality.closed {
                return false;
            }
            if !quality.cut {
                return true;
            }
            links = self.0.links_changed.wait(links).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Carries one direction of a connection until the direction ends or the connection is reset.
    fn carry_direction(
        &self,
        link: Link,
        mut source: &TcpStream,
        mut sink: &TcpStream,
        ends: &ConnectionEnds,
    ) {
        let _ = (source.set_nodelay(true), sink.set_nodelay(true));
        // With a timeout, a closed link or a shutdown is noticed even if nothing is sent.
        let _ = source.set_read_timeout(Some(POLL_INTERVAL));
        let mut random = self.random();
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = source.read(&mut chunk);
            let quality = self.quality(link);
            if quality.closed || self.is_shut_down() || ends.is_reset.load(Ordering::Acquire) {
                return ends.reset();
            }
            let length = match read {
                Ok(length) => length,
                Err(e) if is_temporary(&e) => continue,
                Err(_) => {
                    // A reset by one side is passed on to the other once the link is not cut.
                    self.wait_until_open(link);
                    return ends.reset();
                }
            };
            if length > 0 && random.f64() < quality.reset_share {
                let _ = sink.write_all(&chunk[..length / 2]);
                self.0.counters.resets.fetch_add(1, Ordering::Relaxed);
                return ends.reset();
            }
            delay_chunk(&quality, length, &mut random);
            if !self.hold_while_cut(link, source, length) {
                return ends.reset();
            }
            self.0.counters.bytes.fetch_add(length as u64, Ordering::Relaxed);
            if length == 0 {
                let _ = sink.shutdown(Shutdown::Write);
                return;
            }
            if sink.write_all(&chunk[..length]).is_err() {
                return ends.reset();
            }
        }
    }

    /// Holds a chunk while the link is cut. Returns false if the chunk must not be delivered any more.
    fn hold_while_cut(&self, link: Link, source: &TcpStream, length: usize) -> bool {
        let was_cut = self.quality(link).cut;
        if !self.wait_until_open(link) {
            return false;
        }
        // What a sender wrote before it closed the connection during the cut is not delivered.
        let sender_has_closed = was_cut && length > 0 && source.peek(&mut [0]).is_ok_and(|n| n == 0);
        !sender_has_closed
    }
}

/// Sleeps for the link's latency, and for the retransmissions of a chunk that is lost.
fn delay_chunk(quality: &LinkQuality, length: usize, random: &mut fastrand::Rng) {
    let mut latency = quality.latency(length, random);
    let mut retransmit_after = RETRANSMIT_AFTER;
    while length > 0 && random.f64() < quality.loss_share.min(MAX_LOSS) {
        latency += retransmit_after;
        retransmit_after *= 2;
    }
    if !latency.is_zero() {
        thread::sleep(latency);
    }
}
