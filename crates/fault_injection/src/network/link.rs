//! Nodes, the links between them, and the quality of each link.

use std::collections::HashMap;
use std::time::Duration;

/// A node of the network, by its index in the site: gatekeepers first, then backends, then the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub usize);

/// One direction of the traffic between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    /// The node that sends over the link.
    pub from: NodeId,
    /// The node that receives over the link.
    pub to: NodeId,
}

impl Link {
    /// The link that carries traffic from one node to another.
    pub fn new(from: NodeId, to: NodeId) -> Self {
        Self { from, to }
    }

    /// The opposite direction.
    #[must_use]
    pub fn reversed(self) -> Self {
        Self { from: self.to, to: self.from }
    }
}

/// The quality of a link. The default is a healthy link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkQuality {
    /// Whether nothing passes, not even the end or reset of a connection.
    pub cut: bool,
    /// Whether open connections are reset, and new ones are reset at once.
    pub closed: bool,
    /// Share of the chunks of a stream within which the connection is reset, from 0 to 1.
    pub reset_share: f64,
    /// Share of datagrams that are lost, and of chunks of streams that are delayed by retransmission, from 0 to 1.
    pub loss_share: f64,
    /// Share of datagrams that are duplicated, from 0 to 1.
    pub duplicate_share: f64,
    /// Share of datagrams that are held back so that later ones overtake them, from 0 to 1.
    pub reorder_share: f64,
    /// Latency of each chunk and datagram.
    pub delay: Duration,
    /// Maximum random additional latency.
    pub jitter: Duration,
    /// Rate limit of the link; 0 means unlimited.
    pub bytes_per_second: u64,
}

impl LinkQuality {
    /// The quality of a link on which nothing passes.
    pub fn cut() -> Self {
        Self { cut: true, ..Self::default() }
    }

    /// The quality of a link whose connections are reset.
    pub fn closed() -> Self {
        Self { closed: true, ..Self::default() }
    }

    /// The quality of a link on which two faults act at once.
    #[must_use]
    pub fn combined_with(self, other: Self) -> Self {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Self {
            cut: self.cut || other.cut,
            closed: self.closed || other.closed,
            reset_share: either(self.reset_share, other.reset_share),
            loss_share: either(self.loss_share, other.loss_share),
            duplicate_share: either(self.duplicate_share, other.duplicate_share),
            reorder_share: either(self.reorder_share, other.reorder_share),
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            bytes_per_second: match (self.bytes_per_second, other.bytes_per_second) {
                (0, rate) | (rate, 0) => rate,
                (a, b) => a.min(b),
            },
        }
    }

    /// Latency of a chunk or datagram of this size, with random jitter and the time of its transfer.
    pub(super) fn latency(&self, bytes: usize, random: &mut fastrand::Rng) -> Duration {
        let transfer_s =
            if self.bytes_per_second > 0 { bytes as f64 / self.bytes_per_second as f64 } else { 0.0 };
        self.delay + self.jitter.mul_f64(random.f64()) + Duration::from_secs_f64(transfer_s)
    }
}

/// A link that a fault degrades, and its quality meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkFault {
    /// The link whose quality is reduced.
    pub link: Link,
    /// The quality of the link while the fault lasts; combined with that of other faults.
    pub quality: LinkQuality,
}

/// The state of all links.
#[derive(Debug, Default)]
pub(super) struct LinkStates {
    /// The links that each active fault degrades, by fault id.
    faults: HashMap<u64, Vec<LinkFault>>,
    /// The combined quality of each degraded link; healthy links have no entry.
    qualities: HashMap<Link, LinkQuality>,
}

impl LinkStates {
    pub(super) fn quality(&self, link: Link) -> LinkQuality {
        self.qualities.get(&link).copied().unwrap_or_default()
    }

    pub(super) fn inject(&mut self, fault_id: u64, faults: Vec<LinkFault>) {
        self.faults.insert(fault_id, faults);
        self.recompute_qualities();
    }

    pub(super) fn heal(&mut self, fault_id: u64) {
        self.faults.remove(&fault_id);
        self.recompute_qualities();
    }

    fn recompute_qualities(&mut self) {
        self.qualities.clear();
        for LinkFault { link, quality } in self.faults.values().flatten() {
            let combined = self.qualities.entry(*link).or_default();
            *combined = combined.combined_with(*quality);
        }
    }
}
