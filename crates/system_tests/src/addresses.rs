//! Free addresses on loopback.

use fault_harness::ports::free_address;
use std::net::SocketAddr;

/// Returns addresses on loopback whose ports are free now, for TCP and for UDP, and that no harness in another process uses.
///
/// # Panics
///
/// Panics if there are not enough free ports.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| free_address().expect("a free port")).collect()
}
