//! Lets connection attempts hang while their link is cut, as if packets were lost. The harness fills the backlog of the link's
//! listener with connections of its own, so that the system drops the SYN of every further connection.

use super::{CONNECT_TIMEOUT, Link, Network};
use fault_harness::sync::lock;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// The backlog of a listener of a healthy link, as the standard library requests it.
const HEALTHY_BACKLOG: i32 = 128;
/// The backlog of a listener whose link is cut.
const CUT_BACKLOG: i32 = 0;
/// Number of connections that fill the backlog of a cut link: one more than the system queues for a backlog of 0, and spare ones
/// for those that the listener still accepts.
const FILLERS: usize = 4;

/// The backlog of the listener of a stream link.
#[derive(Debug)]
pub(super) struct Backlog {
    link: Link,
    address: SocketAddr,
    listener: TcpListener,
    is_full: Mutex<bool>,
}

impl Network {
    pub(super) fn register_backlog(&self, link: Link, listener: &TcpListener) -> std::io::Result<()> {
        let address = listener.local_addr()?;
        let backlog = Backlog { link, address, listener: listener.try_clone()?, is_full: Mutex::default() };
        lock(&self.0.backlogs).push(Arc::new(backlog));
        Ok(())
    }

    /// Fills the backlogs of links that are cut now, and empties those of links that have healed.
    pub(super) fn update_backlogs(&self) {
        for backlog in &*lock(&self.0.backlogs) {
            if self.is_cut(backlog.link) != *lock(&backlog.is_full) {
                let (network, backlog) = (self.clone(), backlog.clone());
                thread::spawn(move || network.fill_or_empty(&backlog));
            }
        }
    }

    fn fill_or_empty(&self, backlog: &Backlog) {
        let mut is_full = lock(&backlog.is_full);
        // Threads of several changes may run in any order: the last one leaves the backlog in the state of the link.
        while self.is_cut(backlog.link) != *is_full && !self.is_shut_down() {
            *is_full = !*is_full;
            let size = if *is_full { CUT_BACKLOG } else { HEALTHY_BACKLOG };
            let _ = rustix::net::listen(&backlog.listener, size);
            if *is_full {
                self.connect_fillers(backlog.address);
            }
        }
    }

    fn connect_fillers(&self, address: SocketAddr) {
        for _ in 0..FILLERS {
            let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else { return };
            if let Ok(from) = stream.local_addr() {
                lock(&self.0.fillers).insert((address, from), stream);
            }
        }
    }

    /// Whether a connection that was accepted at this address is one of those that fill its backlog.
    pub(super) fn is_filler(&self, address: SocketAddr, stream: &TcpStream) -> bool {
        let from = stream.peer_addr().ok();
        from.and_then(|from| lock(&self.0.fillers).remove(&(address, from))).is_some()
    }
}
