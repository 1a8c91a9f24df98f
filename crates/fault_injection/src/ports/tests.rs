//! Which addresses count as free.

use super::*;
use std::net::{TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::AtomicBool;

/// Threads that fork children while addresses are drawn, and the addresses that are drawn.
const FORKING_THREADS: usize = 2;
const DRAWN_ADDRESSES: usize = 200;

#[test]
fn an_address_that_is_bound_is_not_free() {
    let listener = TcpListener::bind((host(), 0)).expect("a free port");
    assert!(!is_free(host(), listener.local_addr().expect("an address").port()));
    let socket = UdpSocket::bind((host(), 0)).expect("a free port");
    assert!(!is_free(host(), socket.local_addr().expect("an address").port()));
    let wildcard = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).expect("a free port");
    assert!(!is_free(host(), wildcard.local_addr().expect("an address").port()));
}

/// Regression: the check bound the address, and a child that another thread forked at that moment inherited the socket, so that the
/// address was still in use when a stand-in listened on it.
#[test]
fn an_address_is_free_at_once_while_other_threads_fork() {
    let is_over = AtomicBool::new(false);
    let fork_children = || {
        while !is_over.load(Ordering::Relaxed) {
            Command::new("true").status().expect("a child");
        }
    };
    let in_use = std::thread::scope(|scope| {
        (0..FORKING_THREADS).for_each(|_| drop(scope.spawn(fork_children)));
        let addresses = (0..DRAWN_ADDRESSES).map(|_| free_address().expect("a free port"));
        let in_use = addresses.filter(|address| TcpListener::bind(address).is_err()).count();
        is_over.store(true, Ordering::Relaxed);
        in_use
    });
    assert_eq!(in_use, 0);
}
