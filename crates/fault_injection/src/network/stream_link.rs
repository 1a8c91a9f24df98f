//! Links for streams: each direction of a TCP connection is carried by a thread.

use super::{Link, LinkQuality, Network, POLL_INTERVAL};
use fault_harness::connections::{is_temporary, reset_on_close};
use fault_harness::sync::lock;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum number of bytes that are read at once. A rate limit applies to each such chunk.
const CHUNK: usize = 16 * 1024;
/// First retransmission timeout of a lost chunk; it doubles, as in TCP (RFC 6298 has 1 s, systems use 0.2 s).
const RETRANSMIT_AFTER: Duration = Duration::from_millis(200);
/// Upper bound of the loss rate, so that each chunk arrives.
const MAX_LOSS: f64 = 0.9;

/// Both ends of a connection that a link carries.
struct ConnectionEnds {
    near: TcpStream,
    far: TcpStream,
    /// An end that is read from here on is not the other side's own.
    is_reset: AtomicBool,
}

impl ConnectionEnds {
    /// Resets both ends. The resets go out when the second of the two directions has let go.
    fn reset(&self) {
        self.is_reset.store(true, Ordering::Release);
        reset_and_wake(&self.near);
        reset_and_wake(&self.far);
    }
}

/// When this socket is closed, its connection is reset; whoever waits to read from it wakes up.
fn reset_and_wake(stream: &TcpStream) {
    reset_on_close(stream);
    // Only the reading half: the other one would tell an orderly end first.
    let _ = stream.shutdown(Shutdown::Read);
}

impl Network {
    /// A link for streams: its sender connects to `listen_at` and reaches what listens at `target`, which is the receiver's.
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
        self.watch_backlog(link, &listener)?;
        let network = self.clone();
        self.accept(listener, Some(link), move |near| {
            let network = network.clone();
            thread::spawn(move || network.carry_connection(link, near, target));
        });
        Ok(address)
    }

    fn carry_connection(&self, link: Link, near: TcpStream, target: SocketAddr) {
        // The sender learns nothing of the far side while the link is cut.
        if !self.wait_until_open(link) {
            return reset_and_wake(&near);
        }
        let Ok(far) = TcpStream::connect(target) else {
            lock(&self.0.refused).extend(near.peer_addr());
            return reset_and_wake(&near);
        };
        let both = Arc::new(ConnectionEnds { near, far, is_reset: AtomicBool::new(false) });
        let (network, ends) = (self.clone(), both.clone());
        thread::spawn(move || network.carry_direction(link.reversed(), &ends.far, &ends.near, &ends));
        self.carry_direction(link, &both.near, &both.far, &both);
    }

    /// Whether the connection from this address was refused behind its link. The system accepts it for the link itself. Returns
    /// true once for each refusal.
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

    /// Carries one direction of a connection until it ends.
    fn carry_direction(
        &self,
        link: Link,
        mut source: &TcpStream,
        mut sink: &TcpStream,
        both: &ConnectionEnds,
    ) {
        let _ = (source.set_nodelay(true), sink.set_nodelay(true));
        // A link that is closed or has ended is noticed while nothing is sent on it.
        let _ = source.set_read_timeout(Some(POLL_INTERVAL));
        let mut random = self.random();
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = source.read(&mut chunk);
            let quality = self.quality(link);
            if quality.closed || self.is_shut_down() || both.is_reset.load(Ordering::Acquire) {
                return both.reset();
            }
            let length = match read {
                Ok(length) => length,
                Err(e) if is_temporary(&e) => continue,
                Err(_) => {
                    // A reset on one side is one on the other, once the link carries.
                    self.wait_until_open(link);
                    return both.reset();
                }
            };
            if length > 0 && random.f64() < quality.reset {
                let _ = sink.write_all(&chunk[..length / 2]);
                self.0.counters.resets.fetch_add(1, Ordering::Relaxed);
                return both.reset();
            }
            delay_chunk(&quality, length, &mut random);
            if !self.wait_out_cut(link, source, length) {
                return both.reset();
            }
            self.0.counters.bytes.fetch_add(length as u64, Ordering::Relaxed);
            if length == 0 {
                let _ = sink.shutdown(Shutdown::Write);
                return;
            }
            if sink.write_all(&chunk[..length]).is_err() {
                return both.reset();
            }
        }
    }

    /// Holds a chunk while the link is cut. False where it is not to be delivered any more.
    fn wait_out_cut(&self, link: Link, source: &TcpStream, length: usize) -> bool {
        let was_cut = self.quality(link).cut;
        if !self.wait_until_open(link) {
            return false;
        }
        // A sender that has let go meanwhile is not heard any more.
        let has_gone = was_cut && length > 0 && source.peek(&mut [0]).is_ok_and(|n| n == 0);
        !has_gone
    }
}

/// Sleeps for the link's latency, and for retransmissions where the chunk is lost.
fn delay_chunk(quality: &LinkQuality, length: usize, random: &mut fastrand::Rng) {
    let mut latency = quality.latency(length, random);
    let mut retransmit_after = RETRANSMIT_AFTER;
    while length > 0 && random.f64() < quality.loss.min(MAX_LOSS) {
        latency += retransmit_after;
        retransmit_after *= 2;
    }
    if !latency.is_zero() {
        thread::sleep(latency);
    }
}
