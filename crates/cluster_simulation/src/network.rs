//! The simulated network: addresses, datagram loss and partitions.

use rand::RngExt;
use rand::rngs::StdRng;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

/// The maximum delay of a datagram in milliseconds.
const MAX_DELAY_MS: u64 = 2;

/// Returns the gossip address of an instance.
pub(crate) fn address(instance: usize) -> SocketAddr {
    let [.., high, middle, low] = (instance as u32).to_be_bytes();
    SocketAddr::from(([127, high, middle, low], 7_000))
}

/// Returns the number of the instance with this gossip address. It is out of range for an IPv6 address.
pub(crate) fn instance(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, high, middle, low] = ip.octets();
            u32::from_be_bytes([0, high, middle, low]) as usize
        }
        IpAddr::V6(_) => usize::MAX,
    }
}

/// Which instances reach the lease store during a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// All instances reach the store.
    BothSides,
    /// Only the instances that are not separated reach the store.
    OtherSide,
}

/// A partition of the network into two sides. Datagrams between the sides are lost.
#[derive(Debug)]
struct Partition {
    /// The instances on one side. All others are on the other side.
    separated: Range<usize>,
    store_access: StoreAccess,
}

/// The network between the instances, and from the instances to the store.
#[derive(Debug)]
pub(crate) struct Network {
    /// The probability that a datagram is lost.
    loss_probability: f64,
    partition: Option<Partition>,
}

impl Network {
    pub(crate) fn new(loss_probability: f64) -> Self {
        Self { loss_probability, partition: None }
    }

    /// Separates these instances from all others. Replaces an earlier partition.
    pub(crate) fn partition(&mut self, separated: Range<usize>, store_access: StoreAccess) {
        self.partition = Some(Partition { separated, store_access });
    }

    /// Ends the partition.
    pub(crate) fn heal(&mut self) {
        self.partition = None;
    }

    /// Returns whether an instance reaches the store.
    pub(crate) fn reaches_store(&self, instance: usize) -> bool {
        let Some(Partition { separated, store_access }) = &self.partition else { return true };
        match store_access {
            StoreAccess::BothSides => true,
            StoreAccess::OtherSide => !separated.contains(&instance),
        }
    }

    /// Returns whether datagrams from one instance reach the other.
    fn connects(&self, from: usize, to: usize) -> bool {
        let Some(Partition { separated, .. }) = &self.partition else { return true };
        separated.contains(&from) == separated.contains(&to)
    }

    /// Returns the delay of a datagram, or `None` if it is lost.
    pub(crate) fn delay(&self, from: usize, to: usize, rng: &mut StdRng) -> Option<Duration> {
        let lost = rng.random_bool(self.loss_probability);
        let delay = Duration::from_millis(rng.random_range(0..=MAX_DELAY_MS));
        (self.connects(from, to) && !lost).then_some(delay)
    }
}
