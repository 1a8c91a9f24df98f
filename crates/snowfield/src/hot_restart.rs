//! Hot restarts: a process takes over from its predecessor at startup and hands over to its successor later. The package
//! `handover` defines the messages, and docs/design/operations.md describes the order of the steps.

mod predecessor;
mod successor;

pub use successor::Predecessor;

use crate::admin_service::AdminService;
use crate::endpoint_ids::EndpointIds;
use crate::operator_ejections::OperatorEjections;
use destination::{BackendPools, RespProtocol};
use front_resp::{Front, RespExchange};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Timeout for the next message of the other process. A successor must be ready to serve within 6 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// The parts of this process that a hot restart hands over or takes over.
pub struct HotRestart {
    /// Holds the names of classes and plans.
    admin: Arc<AdminService>,
    /// Exchanges ejections with the other process.
    ejections: Arc<OperatorEjections>,
    /// Holds the policy, whose state is handed over.
    exchange: Arc<RespExchange>,
    /// Holds the connections to backends.
    pools: Arc<BackendPools<RespProtocol>>,
    /// Holds the backends' numbers and the operators' ejections.
    endpoint_ids: Arc<Mutex<EndpointIds>>,
    /// Holds the client connections.
    front: Arc<Front>,
    /// Number of client connections that the front has released and that are not yet sent to the successor.
    connections_in_transfer: AtomicUsize,
}

impl HotRestart {
    /// Combines the parts of this process that a hot restart hands over or takes over.
    pub fn new(
        admin: Arc<AdminService>,
        ejections: Arc<OperatorEjections>,
        exchange: Arc<RespExchange>,
        pools: Arc<BackendPools<RespProtocol>>,
        endpoint_ids: Arc<Mutex<EndpointIds>>,
        front: Arc<Front>,
    ) -> Arc<Self> {
        let connections_in_transfer = AtomicUsize::new(0);
        Arc::new(Self { admin, ejections, exchange, pools, endpoint_ids, front, connections_in_transfer })
    }

    /// Whether this process has handed over to a successor and has not resumed service since.
    pub fn has_handed_over(&self) -> bool {
        self.front.is_handing_over()
    }

    /// Number of client connections that the front has released and that are not yet sent to the successor.
    pub fn connections_in_transfer(&self) -> usize {
        self.connections_in_transfer.load(Ordering::Acquire)
    }
}

/// Returns the index of each of `names` in `other`; `None` for a name that is not in it.
fn indices_in(names: &[String], other: &[String]) -> Vec<Option<usize>> {
    names.iter().map(|name| other.iter().position(|known| known == name)).collect()
}
