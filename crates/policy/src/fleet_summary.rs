//! A read-only summary of the backends for operators.

use crate::backend::Backend;
use crate::event::BackendState;
use crate::state_machine::Policy;

/// Number of backends on the endpoint list, and number of listed backends that currently get no requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSummary {
    /// Backends on the list, ready or draining.
    pub listed: usize,
    /// Listed backends that are draining, ejected by an operator, ejected as an outlier for every class
    /// (unless the pool is in panic mode), or in connect backoff.
    pub unavailable: usize,
}

impl Policy {
    /// Counts the listed and the unavailable backends over all services.
    pub fn fleet_summary(&self) -> FleetSummary {
        let listed = || self.backends.iter().filter(|backend| backend.entry.state != BackendState::Gone);
        FleetSummary {
            listed: listed().count(),
            unavailable: listed().filter(|backend| self.is_unavailable(backend)).count(),
        }
    }

    fn is_unavailable(&self, backend: &Backend) -> bool {
        let pool = self.pools.get(usize::from(backend.entry.service));
        let in_panic_mode = pool.is_some_and(|pool| pool.order.in_panic_mode());
        backend.entry.state != BackendState::Ready
            || self.backends.is_ejected_by_operator(backend.entry.id)
            || backend.health.is_in_connect_backoff(self.now)
            || backend.health.is_ejected() && !in_panic_mode
    }
}
