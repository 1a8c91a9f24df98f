//! Faults of links: cuts, closed and degraded links, and flapping.

use super::{ActiveFault, FaultScope};
use crate::Error;
use crate::network::{Link, LinkFault, LinkQuality, NodeId};
use crate::schedule::FaultKind;
use crate::site::selector::selects;
use crate::site::{LOAD, Site};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The quality of a link under a [`FaultKind::Degraded`]; healthy for any other kind.
pub(super) fn degraded_quality(kind: &FaultKind) -> LinkQuality {
    let FaultKind::Degraded { reset, loss, duplicate, reorder, delay_ms, jitter_ms, bytes_per_s, .. } = kind
    else {
        return LinkQuality::default();
    };
    LinkQuality {
        reset_share: *reset,
        loss_share: *loss,
        duplicate_share: *duplicate,
        reorder_share: *reorder,
        delay: Duration::from_millis(*delay_ms),
        jitter: Duration::from_millis(*jitter_ms),
        bytes_per_second: *bytes_per_s,
        ..LinkQuality::default()
    }
}

fn link_faults(links: &[Link], quality: LinkQuality) -> Vec<LinkFault> {
    links.iter().map(|link| LinkFault { link: *link, quality }).collect()
}

impl Site {
    /// All links from one side to the other.
    pub(super) fn links_one_way(&self, from: &str, to: &str) -> Vec<Link> {
        let (senders, receivers) = (self.selected_nodes(from), self.selected_nodes(to));
        let links = senders.iter().flat_map(|a| receivers.iter().map(|b| Link::new(*a, *b)));
        links.filter(|link| link.from != link.to).collect()
    }

    /// All links between the two sides, in both directions.
    pub(super) fn links_both_ways(&self, from: &str, to: &str) -> Vec<Link> {
        let forward = self.links_one_way(from, to);
        forward.into_iter().flat_map(|link| [link, link.reversed()]).collect()
    }

    /// The nodes on one side of a fault. The node of the clients must be selected by its name: `*` does not include it.
    fn selected_nodes(&self, selector: &str) -> Vec<NodeId> {
        let selected = self.nodes.iter().filter(|(name, _)| selects(selector, name));
        selected.filter(|(name, _)| selector == LOAD || *name != LOAD).map(|(_, node)| *node).collect()
    }

    /// The deviations that faults on these links permit.
    fn link_scope(&self, links: &[Link]) -> FaultScope {
        let load = self.nodes[LOAD];
        let mut scope = FaultScope::default();
        for link in links.iter().flat_map(|link| [*link, link.reversed()]) {
            if link.from == load && self.is_gatekeeper(link.to) {
                scope.affected.push(self.members[link.to.0].name.clone());
            }
            scope.delays_attempts |= self.is_gatekeeper(link.from) && self.is_backend(link.to);
        }
        scope.affected.sort();
        scope.affected.dedup();
        scope
    }

    fn is_gatekeeper(&self, node: NodeId) -> bool {
        node.0 < self.members.len()
    }

    fn is_backend(&self, node: NodeId) -> bool {
        let first = self.members.len();
        (first..first + self.backends.len()).contains(&node.0)
    }

    /// Degrades links until the fault ends.
    pub(super) fn degrade_links(
        &self,
        fault: &ActiveFault<'_>,
        links: Vec<Link>,
        quality: LinkQuality,
    ) -> Result<bool, Error> {
        let fault_id = fault.index as u64;
        self.record_fault(fault, &self.link_scope(&links), || {
            self.network.inject(fault_id, link_faults(&links, quality));
            (fault.wait_for_end)();
            self.network.heal(fault_id);
            Ok(())
        })
    }

    /// Cuts and heals links in turn, each for a period, until the fault ends.
    pub(super) fn flap_links(
        &self,
        fault: &ActiveFault<'_>,
        links: &[Link],
        period: Duration,
    ) -> Result<bool, Error> {
        let fault_id = fault.index as u64;
        self.record_fault(fault, &self.link_scope(links), || {
            let is_over = AtomicBool::new(false);
            thread::scope(|scope| {
                scope.spawn(|| {
                    while !is_over.load(Ordering::Relaxed) {
                        self.network.inject(fault_id, link_faults(links, LinkQuality::cut()));
                        thread::sleep(period);
                        self.network.heal(fault_id);
                        thread::sleep(period);
                    }
                });
                (fault.wait_for_end)();
                is_over.store(true, Ordering::Relaxed);
            });
            Ok(())
        })
    }
}
