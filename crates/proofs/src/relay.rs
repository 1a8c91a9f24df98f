//! Relays of datagrams: each instance is reached through one, and a split drops what crosses it.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The relays of a cluster.
#[derive(Clone)]
pub struct Relays {
    /// Where each instance is to be reached.
    pub addresses: Vec<SocketAddr>,
    /// The side of each instance, a bit each.
    sides: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl Relays {
    /// Starts a relay in front of each of these.
    ///
    /// # Panics
    ///
    /// There is no free port.
    pub fn start(behind: &[SocketAddr]) -> Self {
        let open = |_| UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let sockets: Vec<UdpSocket> = behind.iter().map(open).collect();
        let addresses = sockets.iter().map(|s| s.local_addr().expect("an address")).collect();
        let relays =
            Self { addresses, sides: Arc::default(), dropped: Arc::default(), bytes: Arc::default() };
        let numbers: HashMap<SocketAddr, usize> = behind.iter().enumerate().map(|(i, a)| (*a, i)).collect();
        for (to, socket) in sockets.into_iter().enumerate() {
            let (relays, numbers, behind) = (relays.clone(), numbers.clone(), behind[to]);
            std::thread::spawn(move || {
                let mut buffer = [0; 2048];
                loop {
                    // A word that nobody listens behind concerns no other datagram.
                    let Ok((n, from)) = socket.recv_from(&mut buffer) else { continue };
                    let sides = relays.sides.load(Ordering::Relaxed);
                    let side = |i: usize| sides >> i & 1;
                    if numbers.get(&from).is_some_and(|&from| side(from) != side(to)) {
                        relays.dropped.fetch_add(1, Ordering::Relaxed);
                    } else {
                        relays.bytes.fetch_add(n as u64, Ordering::Relaxed);
                        let _ = socket.send_to(&buffer[..n], behind);
                    }
                }
            });
        }
        relays
    }

    /// Puts the instances whose bits are set on the other side; 0 heals.
    pub fn split(&self, sides: u64) {
        self.sides.store(sides, Ordering::Relaxed);
    }

    /// Datagrams dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Bytes carried so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
