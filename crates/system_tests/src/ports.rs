//! Free ports.

use fault_injection::ports::free_address;
use std::net::SocketAddr;

/// Addresses on loopback that are free now, for TCP and UDP, and that no other process of a harness uses.
///
/// # Panics
///
/// There are none.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| free_address().expect("a free port")).collect()
}
