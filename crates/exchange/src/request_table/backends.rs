//! What the table knows of the backends.

use super::RequestTable;
use crate::counts::BackendStatus;
use policy::{BackendEntry, BackendState, ListKind};

impl<Q, A> RequestTable<Q, A> {
    /// Whether a backend of a service takes work.
    pub(super) fn has_ready_backend(&self, service: u16) -> bool {
        self.status.backends.iter().any(|(id, backend)| {
            backend.state == BackendState::Ready && self.backend_services.get(id) == Some(&service)
        })
    }

    /// Records states and services from an update of the endpoint list.
    pub(crate) fn note_endpoints(&mut self, kind: ListKind, entries: &[BackendEntry]) {
        let backends = &mut self.status.backends;
        if matches!(kind, ListKind::Cached | ListKind::Full) {
            backends.values_mut().for_each(|backend| backend.state = BackendState::Gone);
        }
        for entry in entries {
            let idle = BackendStatus { state: entry.state, in_flight: 0 };
            backends.entry(entry.id).or_insert(idle).state = entry.state;
            self.backend_services.insert(entry.id, entry.service);
        }
        backends.retain(|_, backend| backend.state != BackendState::Gone || backend.in_flight > 0);
        self.backend_services.retain(|id, _| backends.contains_key(id));
    }
}
