//! Free addresses on loopback for gatekeepers and stand-ins that are started later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports of listeners, below those that the system gives to clients' sockets.
const PORTS: Range<u16> = 12_000..30_000;
/// Linux's tables of IPv4 sockets with their local and remote addresses in hexadecimal (proc(5)).
const SOCKET_TABLES: [&str; 2] = ["/proc/net/tcp", "/proc/net/udp"];

/// The loopback host of this process of a harness: no other process has the same one.
fn host() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 100, middle, low.max(1))
}

/// Whether no socket of the machine uses this address, over TCP and over UDP. It is looked up and not bound: a child that another
/// thread forks meanwhile would inherit the bound socket, and the address would be in use when it is needed.
fn is_free(host: Ipv4Addr, port: u16) -> bool {
    let entry = |host: Ipv4Addr| format!(" {:08X}:{port:04X} ", u32::from_ne_bytes(host.octets()));
    let entries = [host, Ipv4Addr::UNSPECIFIED].map(entry);
    SOCKET_TABLES.iter().all(|table| {
        let sockets = std::fs::read_to_string(table).unwrap_or_default();
        !entries.iter().any(|entry| sockets.contains(entry.as_str()))
    })
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
    let host = host();
    let free = std::iter::repeat_with(next_port).take(PORTS.len()).find(|&port| is_free(host, port));
    free.map(|port| (host, port).into()).ok_or_else(|| io::Error::other("no free port"))
}

#[cfg(test)]
mod tests;
