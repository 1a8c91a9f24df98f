//! Tests that allocated addresses are free. The test is in a process of its own that starts no children, as a child inherits the
//! sockets of its parent until it executes its program.

use fault_harness::ports::free_address;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// The first ephemeral port that the system gives to clients' sockets.
const FIRST_EPHEMERAL_PORT: u16 = 32_768;

#[test]
fn each_call_returns_another_free_address_below_the_ephemeral_ports() {
    let addresses: BTreeSet<SocketAddr> = (0..50).map(|_| free_address().expect("a free port")).collect();
    assert_eq!(addresses.len(), 50);
    for address in addresses {
        assert!(address.ip().is_loopback() && address.port() < FIRST_EPHEMERAL_PORT, "{address}");
        TcpListener::bind(address).expect("the address is free for TCP");
        UdpSocket::bind(address).expect("the address is free for UDP");
    }
}
