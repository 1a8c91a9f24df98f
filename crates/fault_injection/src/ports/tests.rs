//! Which addresses count as free.

use super::*;

#[test]
fn an_address_that_is_bound_is_not_free() {
    let listener = TcpListener::bind((host(), 0)).expect("a free port");
    assert!(!is_free(listener.local_addr().expect("an address")));
    let socket = UdpSocket::bind((host(), 0)).expect("a free port");
    assert!(!is_free(socket.local_addr().expect("an address")));
}
