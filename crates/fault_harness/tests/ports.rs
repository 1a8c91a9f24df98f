//! Free addresses. In a process that starts no others: a child inherits the sockets of its parent until it executes its program.

use fault_harness::ports::free_address;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// The system gives ports from this on to clients' sockets.
const FIRST_CLIENT_PORT: u16 = 32_768;

#[test]
fn each_call_gives_another_free_address_outside_the_ports_of_clients() {
    let addresses: BTreeSet<SocketAddr> = (0..50).map(|_| free_address().expect("a free port")).collect();
    assert_eq!(addresses.len(), 50);
    for address in addresses {
        assert!(address.ip().is_loopback() && address.port() < FIRST_CLIENT_PORT, "{address}");
        TcpListener::bind(address).expect("it is free over TCP");
        UdpSocket::bind(address).expect("it is free over UDP");
    }
}
