//! Allocates free loopback addresses for gatekeepers and stand-ins that are started later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports for listeners, below the ephemeral ports that the system gives to clients' sockets.
const LISTENER_PORTS: Range<u16> = 12_000..30_000;
/// Linux's tables of IPv4 sockets with their local and remote addresses in hexadecimal (proc(5)).
const SOCKET_TABLES: [&str; 2] = ["/proc/net/tcp", "/proc/net/udp"];

/// The loopback IP address of this harness process, derived from its process id so that no other process has the same one.
fn process_host() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 100, middle, low.max(1))
}

/// Whether no TCP or UDP socket of the machine uses this address. The address is looked up in the socket tables instead of bound:
/// a child that another thread forks meanwhile would inherit the bound socket, and the address would be in use when it is needed.
fn is_free(host: Ipv4Addr, port: u16) -> bool {
    let entry = |host: Ipv4Addr| format!(" {:08X}:{port:04X} ", u32::from_ne_bytes(host.octets()));
    let entries = [host, Ipv4Addr::UNSPECIFIED].map(entry);
    SOCKET_TABLES.iter().all(|table| {
        let sockets = std::fs::read_to_string(table).unwrap_or_default();
        !entries.iter().any(|entry| sockets.contains(entry.as_str()))
    })
}

/// Returns a loopback address to which nothing is bound. No other call and no other harness process gets the same address:
/// gatekeepers set `SO_REUSEPORT`, so two that got the same port would share it without an error.
///
/// # Errors
///
/// All ports for listeners are in use.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let next_port = || {
        LISTENER_PORTS.start
            + NEXT.fetch_add(1, Ordering::Relaxed) % (LISTENER_PORTS.end - LISTENER_PORTS.start)
    };
    let host = process_host();
    let free = std::iter::repeat_with(next_port).take(LISTENER_PORTS.len()).find(|&port| is_free(host, port));
    free.map(|port| (host, port).into())
        .ok_or_else(|| io::Error::other("no free port for a listener on loopback"))
}

#[cfg(test)]
mod tests;
