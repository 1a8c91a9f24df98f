//! Stand-ins of what gatekeepers speak to, each of which can be made to fail.

mod backend;
mod counter;
mod discovery;

pub use backend::{Backend, BackendMode};
pub use counter::{Counter, CounterMode};
pub use discovery::{Discovery, DiscoveryMode, SharedList};

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports of listeners, below those that the system gives to clients' sockets.
const PORTS: std::ops::Range<u16> = 12_000..30_000;

/// A loopback address without a listener. No other call and no other process of a harness gets the same one: gatekeepers set
/// `SO_REUSEPORT`, so a bind does not fail where two share a port.
///
/// # Errors
///
/// All ports are taken.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 1 + high % 100, middle, low.max(1));
    let next_port = || PORTS.start + NEXT.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
    let free = std::iter::repeat_with(next_port).take(PORTS.len()).find_map(|port| {
        let listener = TcpListener::bind((host, port)).ok()?;
        listener.local_addr().ok()
    });
    free.ok_or_else(|| io::Error::other("no free port"))
}
