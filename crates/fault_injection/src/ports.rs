//! Free addresses on loopback for gatekeepers and stand-ins that are started later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports of listeners, below those that the system gives to clients' sockets.
const PORTS: Range<u16> = 12_000..30_000;

/// The loopback host of this process of a harness: no other process has the same one.
fn host() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 100, middle, low.max(1))
}

/// Whether nothing is bound to this address, over TCP and over UDP.
fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

/// A loopback address to which nothing is bound. No other call and no other process of a harness gets the same one: gatekeepers
/// set `SO_REUSEPORT`, so a bind does not fail where two share a port.
///
/// # Errors
///
/// All ports are taken.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let next_port = || PORTS.start + NEXT.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
    let next_address = || SocketAddr::from((host(), next_port()));
    let free = std::iter::repeat_with(next_address).take(PORTS.len()).find(|address| is_free(*address));
    free.ok_or_else(|| io::Error::other("no free port"))
}

#[cfg(test)]
mod tests;
