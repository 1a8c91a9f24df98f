//! Nodes, the links between them, and how good each link is.

use std::collections::HashMap;
use std::time::Duration;

/// A node of the network, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub usize);

/// One direction between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
}

impl Link {
    /// The link between these nodes.
    pub fn new(from: NodeId, to: NodeId) -> Self {
        Self { from, to }
    }

    /// The other direction.
    #[must_use]
    pub fn reversed(self) -> Self {
        Self { from: self.to, to: self.from }
    }
}

/// The quality of a link. The default is a healthy one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkQuality {
    /// Nothing passes, and no end is told.
    pub cut: bool,
    /// New connections are reset at once, and open ones were.
    pub closed: bool,
    /// Of a stream: the share of chunks in whose middle the connection is reset.
    pub reset: f64,
    /// The share of datagrams that are lost, and of chunks that come late.
    pub loss: f64,
    /// The share of datagrams that are duplicated.
    pub duplicate: f64,
    /// The share of datagrams that are overtaken by later ones.
    pub reorder: f64,
    /// Latency.
    pub delay: Duration,
    /// Random additional latency, at most.
    pub jitter: Duration,
    /// Bytes a second; 0 means no bound.
    pub bytes_per_second: u64,
}

impl LinkQuality {
    /// A link on which nothing passes.
    pub fn cut() -> Self {
        Self { cut: true, ..Self::default() }
    }

    /// A link whose connections are reset.
    pub fn closed() -> Self {
        Self { closed: true, ..Self::default() }
    }

    /// Both qualities at once.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Self {
            cut: self.cut || other.cut,
            closed: self.closed || other.closed,
            reset: either(self.reset, other.reset),
            loss: either(self.loss, other.loss),
            duplicate: either(self.duplicate, other.duplicate),
            reorder: either(self.reorder, other.reorder),
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            bytes_per_second: match (self.bytes_per_second, other.bytes_per_second) {
                (0, rate) | (rate, 0) => rate,
                (a, b) => a.min(b),
            },
        }
    }

    /// Latency of a chunk of this size.
    pub(super) fn latency(&self, bytes: usize, random: &mut fastrand::Rng) -> Duration {
        let transfer_s =
            if self.bytes_per_second > 0 { bytes as f64 / self.bytes_per_second as f64 } else { 0.0 };
        self.delay + self.jitter.mul_f64(random.f64()) + Duration::from_secs_f64(transfer_s)
    }
}

/// A link that a fault degrades, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkFault {
    /// The link.
    pub link: Link,
    /// How it is while the fault lasts.
    pub quality: LinkQuality,
}

/// The state of all links.
#[derive(Debug, Default)]
pub(super) struct LinkStates {
    /// By id of a fault that is on: the links that it degrades.
    faults: HashMap<u64, Vec<LinkFault>>,
    /// The sum of all faults on a link; healthy links are not in here.
    qualities: HashMap<Link, LinkQuality>,
}

impl LinkStates {
    pub(super) fn quality(&self, link: Link) -> LinkQuality {
        self.qualities.get(&link).copied().unwrap_or_default()
    }

    pub(super) fn inject(&mut self, fault_id: u64, faults: Vec<LinkFault>) {
        self.faults.insert(fault_id, faults);
        self.sum_up();
    }

    pub(super) fn heal(&mut self, fault_id: u64) {
        self.faults.remove(&fault_id);
        self.sum_up();
    }

    fn sum_up(&mut self) {
        self.qualities.clear();
        for LinkFault { link, quality } in self.faults.values().flatten() {
            let sum = self.qualities.entry(*link).or_default();
            *sum = sum.and(*quality);
        }
    }
}
