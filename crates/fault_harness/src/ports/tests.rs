//! Tests which addresses count as free.

use super::*;
use std::net::{TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::AtomicUsize;

/// Number of threads that fork children while addresses are allocated, and number of children that each forks.
const FORKING_THREADS: usize = 4;
const CHILDREN_PER_THREAD: usize = 150;

#[test]
fn an_address_that_is_bound_is_not_free() {
    let listener = TcpListener::bind((process_host(), 0)).expect("a free port");
    assert!(!is_free(process_host(), listener.local_addr().expect("an address").port()));
    let socket = UdpSocket::bind((process_host(), 0)).expect("a free port");
    assert!(!is_free(process_host(), socket.local_addr().expect("an address").port()));
    let wildcard = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).expect("a free port");
    assert!(!is_free(process_host(), wildcard.local_addr().expect("an address").port()));
}

/// Regression: the check bound the address, and a child that another thread forked at that moment inherited the socket, so that
/// the address was still in use when a stand-in listened on it.
#[test]
fn an_address_is_free_at_once_while_other_threads_fork() {
    let running = AtomicUsize::new(FORKING_THREADS);
    let fork_children = || {
        for _ in 0..CHILDREN_PER_THREAD {
            Command::new("true").status().expect("a child");
        }
        running.fetch_sub(1, Ordering::Relaxed);
    };
    std::thread::scope(|scope| {
        (0..FORKING_THREADS).for_each(|_| drop(scope.spawn(fork_children)));
        while running.load(Ordering::Relaxed) > 0 {
            let address = free_address().expect("a free port");
            TcpListener::bind(address).expect("the address is free");
        }
    });
}
