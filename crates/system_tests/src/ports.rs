//! Free ports.

use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Ports of loopback that are free now, for TCP and UDP.
///
/// # Panics
///
/// There are none.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    // All are bound until the last is found, so that none comes twice.
    let bound: Vec<_> = (0..count).map(|_| bind_both()).collect();
    bound.iter().map(|(_, _, address)| *address).collect()
}

fn bind_both() -> (TcpListener, UdpSocket, SocketAddr) {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = tcp.local_addr().expect("an address");
        if let Ok(udp) = UdpSocket::bind(address) {
            return (tcp, udp, address);
        }
    }
}
