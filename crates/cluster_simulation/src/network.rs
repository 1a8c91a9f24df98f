//! The simulated network: addresses, loss and partitions.

use rand::RngExt;
use rand::rngs::StdRng;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The maximum delay of a datagram in milliseconds.
const MAX_DELAY_MS: u64 = 2;

/// Returns the gossip address of an instance.
pub(crate) fn address(instance: usize) -> SocketAddr {
    let [.., high, middle, low] = (instance as u32).to_be_bytes();
    SocketAddr::from(([127, high, middle, low], 7_000))
}

/// Returns the instance with this gossip address.
pub(crate) fn instance(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, high, middle, low] = ip.octets();
            u32::from_be_bytes([0, high, middle, low]) as usize
        }
        IpAddr::V6(_) => usize::MAX,
    }
}

/// The connections between the instances, and from the instances to the store.
#[derive(Debug)]
pub(crate) struct Network {
    loss: f64,
    /// The side of the partition, 0 or 1, of each instance. Datagrams between the sides are lost.
    sides: Vec<u8>,
    /// Whether the store is reachable from each side.
    store_reachable: [bool; 2],
}

impl Network {
    pub(crate) fn new(instances: usize, loss: f64) -> Self {
        Self { loss, sides: vec![0; instances], store_reachable: [true; 2] }
    }

    /// Partitions the network.
    pub(crate) fn partition(&mut self, sides: Vec<u8>, store_reachable: [bool; 2]) {
        self.sides = sides;
        self.store_reachable = store_reachable;
    }

    /// Returns whether an instance reaches the store.
    pub(crate) fn reaches_store(&self, instance: usize) -> bool {
        self.store_reachable[usize::from(self.sides[instance])]
    }

    /// Returns the delay of a datagram, or `None` if it is lost.
    pub(crate) fn delay(&self, from: usize, to: usize, rng: &mut StdRng) -> Option<Duration> {
        let lost = rng.random_bool(self.loss);
        let delay = Duration::from_millis(rng.random_range(0..=MAX_DELAY_MS));
        let connected = self.sides.get(to) == Some(&self.sides[from]);
        (connected && !lost).then_some(delay)
    }
}
