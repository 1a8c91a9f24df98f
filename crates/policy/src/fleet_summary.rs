//! A summary of the backends for operators: a reading, no decision.

use crate::event::BackendState;
use crate::state::Backend;
use crate::state_machine::Policy;

/// Backends on the list, and those of them that get no work now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSummary {
    /// On the list, ready or draining.
    pub listed: usize,
    /// Of these: draining, ejected by an operator or as an outlier for every class, or in connect backoff.
    pub unavailable: usize,
}

impl Policy {
    /// Counts the backends of all services.
    pub fn fleet_summary(&self) -> FleetSummary {
        let listed = || self.backends.values().filter(|backend| backend.entry.state != BackendState::Gone);
        FleetSummary {
            listed: listed().count(),
            unavailable: listed().filter(|backend| self.is_unavailable(backend)).count(),
        }
    }

    fn is_unavailable(&self, backend: &Backend) -> bool {
        backend.entry.state != BackendState::Ready
            || self.operator_ejections.contains(&backend.entry.id)
            || self.now < backend.connect_backoff_until
            || backend.is_ejected() && !self.pool.in_panic_mode
    }
}
