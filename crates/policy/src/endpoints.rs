//! The endpoint list and operator ejections: which backends are ready, in which order this gatekeeper prefers
//! them.

use crate::event::{BackendEntry, BackendState, ListKind};
use crate::ids::BackendId;
use crate::state::{Backend, mix};
use crate::state_machine::Policy;

/// Gatekeepers that share a backend where there are many, and the fewest backends that one prefers: enough
/// for a lost zone and a release at once. Fewer connections are held, and the same few are known better.
const GATEKEEPERS_PER_BACKEND: f64 = 12.0;
const MIN_SUBSET: usize = 8;

impl Policy {
    pub(crate) fn on_endpoints(&mut self, kind: ListKind, entries: Vec<BackendEntry>) {
        if kind != ListKind::Delta {
            // What a complete list leaves out is gone.
            self.backends.values_mut().for_each(|backend| backend.entry.state = BackendState::Gone);
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        if kind != ListKind::Cached {
            self.start_times.follow();
        }
        self.backends.retain(|_, backend| backend.entry.state != BackendState::Gone || backend.in_flight > 0);
        for service in self.services() {
            self.activate_pool(service);
            self.order_pool();
        }
    }

    fn apply_entry(&mut self, entry: BackendEntry) {
        let mut fresh = Backend::new(entry.clone(), self.now, self.settings.classes.len());
        // A fraction of a token: were it a whole one, every gatekeeper would use it at once.
        fresh.slow_start_tokens = self.rng.f64();
        fresh.notified_start = self.start_times.observe(&entry, self.now);
        match self.backends.get_mut(&entry.id) {
            Some(known) if known.entry.started == entry.started => known.entry = entry,
            // Restarted: in slow start, and nothing learnt of it holds.
            Some(known) => {
                let (in_flight, readmitted_at) = (known.in_flight, known.readmitted_at);
                *known = Backend { in_flight, readmitted_at, ..fresh };
            }
            None if entry.state == BackendState::Gone => {}
            None => {
                self.backends.insert(entry.id, fresh);
            }
        }
    }

    /// Orders the ready backends of the active pool by a hash of their own for each gatekeeper.
    fn order_pool(&mut self) {
        self.pool.ready = self.ready_backends().map(|backend| backend.entry.id).collect();
        let seed = mix(u64::from(self.settings.gatekeeper_index));
        self.pool.ready.sort_by_key(|&id| mix(seed ^ u64::from(id.0)));
        let share = (GATEKEEPERS_PER_BACKEND / f64::from(self.settings.gatekeepers)).min(1.0);
        let subset = self.pool.ready.len() as f64 * share;
        self.pool.subset_size = (subset.ceil() as usize).max(MIN_SUBSET);
        let sizes = || self.pool.ready.iter().map(|id| self.backends[id].size());
        let is_uneven = sizes().any(|size| Some(size) != sizes().next());
        self.pool.has_uneven_sizes = self.settings.weighted_backends && is_uneven;
        let capacity = self.capacity();
        let limit = &mut self.pool.concurrency_limit;
        *limit = if *limit == 0.0 { capacity.even_share } else { limit.min(capacity.upper_bound) };
    }

    /// Operators eject a backend, or admit it again: then it may have restarted unseen, and begins in slow
    /// start.
    pub(crate) fn on_operator_ejection(&mut self, id: BackendId, ejected: bool) {
        let ejections = &mut self.operator_ejections;
        let has_changed = if ejected { ejections.insert(id) } else { ejections.remove(&id) };
        if let Some(backend) = self.backends.get_mut(&id).filter(|_| has_changed && !ejected) {
            let fresh = Backend::new(backend.entry.clone(), self.now, self.settings.classes.len());
            *backend = Backend {
                in_flight: backend.in_flight,
                readmitted_at: self.now,
                notified_start: backend.notified_start,
                slow_start_tokens: self.rng.f64(),
                ..fresh
            };
        }
        self.on_endpoints(ListKind::Delta, Vec::new());
    }

    /// The backends of the active pool that take work.
    pub(crate) fn ready_backends(&self) -> impl Iterator<Item = &Backend> {
        let is_ejected = |backend: &Backend| self.operator_ejections.contains(&backend.entry.id);
        let is_here = move |b: &&Backend| b.entry.service == self.active_service() && !is_ejected(b);
        self.backends.values().filter(|b| b.entry.state == BackendState::Ready).filter(is_here)
    }
}
