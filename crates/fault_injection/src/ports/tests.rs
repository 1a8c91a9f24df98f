//! Addresses that nobody else uses.

use super::*;
use std::collections::BTreeSet;

#[test]
fn each_call_gives_another_free_address_outside_the_ports_of_clients() {
    let addresses: BTreeSet<SocketAddr> = (0..50).map(|_| free_address().expect("a free port")).collect();
    assert_eq!(addresses.len(), 50);
    assert!(addresses.iter().all(|address| address.ip().is_loopback() && PORTS.contains(&address.port())));
    for address in addresses {
        TcpListener::bind(address).expect("it is free over TCP");
        UdpSocket::bind(address).expect("it is free over UDP");
    }
}

#[test]
fn an_address_that_is_bound_is_not_free() {
    let listener = TcpListener::bind((host(), 0)).expect("a free port");
    assert!(!is_free(listener.local_addr().expect("an address")));
    let socket = UdpSocket::bind((host(), 0)).expect("a free port");
    assert!(!is_free(socket.local_addr().expect("an address")));
}
