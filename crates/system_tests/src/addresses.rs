//! Allocation of free addresses on loopback.

use fault_harness::ports::free_address;
use std::net::SocketAddr;

/// Returns `count` loopback addresses whose ports are free at the moment, for TCP and for UDP, and that no harness in another
/// process has reserved.
///
/// # Panics
///
/// Panics if there are not enough free ports.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| free_address().expect("a free port on loopback")).collect()
}
