//! Known backends: applies the endpoint list and operator ejections, and lists the ready backends.

use crate::backend::Backend;
use crate::event::{BackendEntry, BackendState, ListKind};
use crate::ids::BackendId;
use crate::settings::Settings;
use crate::slow_start::{self, SlowStart};
use crate::start_times::StartTimes;
use crate::stored::BackendSnapshot;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// All backends on the endpoint list, and those that left it with attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    known_backends: BTreeMap<BackendId, Backend>,
    /// Backends that operators have ejected, also those that are not on the endpoint list.
    operator_ejections: BTreeSet<BackendId>,
    start_times: StartTimes,
}

/// Inputs that an update of the endpoint list needs besides its entries.
#[derive(Debug)]
pub(crate) struct ListContext<'a> {
    pub(crate) now: Timestamp,
    /// Number of request classes.
    pub(crate) class_count: usize,
    pub(crate) rng: &'a mut fastrand::Rng,
}

impl Backends {
    pub(crate) fn get(&self, id: BackendId) -> Option<&Backend> {
        self.known_backends.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.known_backends.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.known_backends.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.known_backends.values_mut()
    }

    /// The backends of a service that are ready and not ejected by an operator.
    pub(crate) fn ready(&self, service: u16) -> impl Iterator<Item = &Backend> {
        let is_ready = move |backend: &&Backend| {
            let entry = &backend.entry;
            entry.state == BackendState::Ready
                && entry.service == service
                && !self.is_ejected_by_operator(entry.id)
        };
        self.known_backends.values().filter(is_ready)
    }

    pub(crate) fn is_ejected_by_operator(&self, id: BackendId) -> bool {
        self.operator_ejections.contains(&id)
    }

    /// Applies an update of the endpoint list. Backends that left the list stay while they have attempts in
    /// flight.
    pub(crate) fn apply_list(
        &mut self,
        kind: ListKind,
        entries: Vec<BackendEntry>,
        context: &mut ListContext<'_>,
    ) {
        if kind != ListKind::Delta {
            // Backends that are missing in a complete list count as gone.
            self.known_backends.values_mut().for_each(|backend| backend.entry.state = BackendState::Gone);
        }
        for entry in entries {
            self.apply_entry(entry, context);
        }
        if kind != ListKind::Cached {
            self.start_times.record_discovery_list();
        }
        self.known_backends
            .retain(|_, backend| backend.entry.state != BackendState::Gone || backend.load.in_flight() > 0);
    }

    fn apply_entry(&mut self, entry: BackendEntry, context: &mut ListContext<'_>) {
        let now = context.now;
        let fraction = context.rng.f64();
        let slow_start = SlowStart::new(fraction, self.start_times.observe(&entry, now));
        match self.known_backends.get_mut(&entry.id) {
            Some(known) if known.entry.started == entry.started => known.entry = entry,
            Some(known) => {
                let slow_start = known.slow_start.restarted(slow_start);
                *known = known.restarted(entry, slow_start, now);
            }
            None if entry.state == BackendState::Gone => {}
            None => {
                self.known_backends
                    .insert(entry.id, Backend::new(entry, slow_start, now, context.class_count));
            }
        }
    }

    /// Ejects a backend for an operator, or readmits it. A readmitted backend begins in slow start, because
    /// it may have restarted unnoticed while it was ejected.
    pub(crate) fn set_operator_ejection(
        &mut self,
        id: BackendId,
        ejected: bool,
        context: &mut ListContext<'_>,
    ) {
        let ejections = &mut self.operator_ejections;
        let has_changed = if ejected { ejections.insert(id) } else { ejections.remove(&id) };
        if let Some(backend) = self.known_backends.get_mut(&id).filter(|_| has_changed && !ejected) {
            let slow_start = backend.slow_start.readmitted(context.rng.f64(), context.now);
            *backend = backend.restarted(backend.entry.clone(), slow_start, context.now);
        }
    }

    /// Lower bound of the fraction of its full capacity that a backend has; 1 once the backend is warm.
    pub(crate) fn warm_fraction(&self, backend: &Backend, settings: &Settings, now: Timestamp) -> f64 {
        let slow_start = &backend.slow_start;
        let started = self.start_times.start_of(backend.entry.started, slow_start.notified_start(), now);
        slow_start::warm_fraction(settings, started.max(slow_start.readmitted_at()), now)
    }

    /// Sets by how many microseconds this gatekeeper's clock is ahead of the fleet's clock.
    pub(crate) fn set_clock_offset(&mut self, offset: i64) {
        self.start_times.set_clock_offset(offset);
    }

    /// Converts `now`, a reading of this gatekeeper's clock, to the fleet's clock.
    pub(crate) fn fleet_time(&self, now: Timestamp) -> Timestamp {
        self.start_times.fleet_time(now)
    }

    pub(crate) fn store(&self) -> Vec<BackendSnapshot> {
        let stored = self.known_backends.iter().map(|(&id, backend)| BackendSnapshot {
            id,
            started: backend.entry.started,
            state: backend.store(),
        });
        stored.collect()
    }

    /// Restores a backend from a snapshot, if the backend has not restarted since and the number of classes
    /// is the same.
    pub(crate) fn restore(&mut self, snapshot: BackendSnapshot, now: Timestamp) {
        let BackendSnapshot { id, started, state } = snapshot;
        let Some(backend) = self.known_backends.get_mut(&id) else { return };
        if backend.entry.started == started && state.classes.len() == backend.health.class_count() {
            backend.restore(state, now);
        }
    }
}
