//! The backends of the endpoint list: their state, service and number of attempts in flight.

use crate::counts::BackendStatus;
use policy::{BackendEntry, BackendId, BackendState, ListKind};
use std::collections::{BTreeMap, HashMap};

#[cfg(test)]
mod tests;

/// The known backends. A backend that is removed from the endpoint list stays until the first update of the list after its last
/// attempt has ended.
#[derive(Debug, Default)]
pub(super) struct KnownBackends {
    statuses: BTreeMap<BackendId, BackendStatus>,
    services: HashMap<BackendId, u16>,
}

impl KnownBackends {
    /// Applies an update of the endpoint list to the state and the service of each backend.
    pub(super) fn apply_list_update(&mut self, kind: ListKind, entries: &[BackendEntry]) {
        if matches!(kind, ListKind::Cached | ListKind::Full) {
            self.statuses.values_mut().for_each(|backend| backend.state = BackendState::Gone);
        }
        for entry in entries {
            let idle = BackendStatus { state: entry.state, in_flight: 0 };
            self.statuses.entry(entry.id).or_insert(idle).state = entry.state;
            self.services.insert(entry.id, entry.service);
        }
        let is_known = |backend: &BackendStatus| backend.state != BackendState::Gone || backend.in_flight > 0;
        self.statuses.retain(|_, backend| is_known(backend));
        self.services.retain(|id, _| self.statuses.contains_key(id));
    }

    /// Whether any backend of a service is eligible.
    pub(super) fn has_ready_backend(&self, service: u16) -> bool {
        self.statuses.iter().any(|(id, backend)| {
            backend.state == BackendState::Ready && self.services.get(id) == Some(&service)
        })
    }

    pub(super) fn attempt_started(&mut self, backend: BackendId) {
        let idle = BackendStatus { state: BackendState::Ready, in_flight: 0 };
        self.statuses.entry(backend).or_insert(idle).in_flight += 1;
    }

    pub(super) fn attempt_ended(&mut self, backend: BackendId) {
        if let Some(backend) = self.statuses.get_mut(&backend) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
    }

    pub(super) fn statuses(&self) -> &BTreeMap<BackendId, BackendStatus> {
        &self.statuses
    }
}
