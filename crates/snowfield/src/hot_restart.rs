//! Hot restarts: this process takes over from its predecessor, and later gives way to its successor. `handover` has the
//! messages, docs/design/operations.md the order of steps.

mod predecessor;
mod successor;

use crate::admin_service::AdminService;
use crate::endpoint_ids::EndpointIds;
use destination::{BackendPools, RespProtocol};
use front_resp::{Front, RespExchange};
use handover::{Message, PROTOCOL_VERSION, Peer};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the other process may take for its next step. A successor must be ready within 6 s.
const STEP_TIMEOUT: Duration = Duration::from_secs(3);

/// What is handed over.
pub struct HotRestart {
    /// Has the names and the phase, and handles ejections.
    pub admin: Arc<AdminService>,
    /// Has the policy's state.
    pub exchange: Arc<RespExchange>,
    /// The connections to backends.
    pub pools: Arc<BackendPools<RespProtocol>>,
    /// Numbers of backends, and ejections.
    pub endpoint_ids: Arc<Mutex<EndpointIds>>,
    /// Has the client connections.
    pub front: Arc<Front>,
    /// Client connections on their way to the successor.
    passing: AtomicUsize,
}

/// Connects to the process that serves with this directory, if there is one.
pub fn connect(directory: &Path) -> Option<Arc<Peer>> {
    let peer = Peer::connect(directory).ok()?;
    peer.send(&Message::Hello { version: PROTOCOL_VERSION }, None).ok()?;
    Some(Arc::new(peer))
}

impl HotRestart {
    /// Hands over, or takes over, these parts.
    pub fn new(
        admin: Arc<AdminService>,
        exchange: Arc<RespExchange>,
        pools: Arc<BackendPools<RespProtocol>>,
        endpoint_ids: Arc<Mutex<EndpointIds>>,
        front: Arc<Front>,
    ) -> Arc<Self> {
        Arc::new(Self { admin, exchange, pools, endpoint_ids, front, passing: AtomicUsize::new(0) })
    }

    /// Whether a successor serves in place of this process.
    pub fn has_handed_over(&self) -> bool {
        self.front.is_handing_over()
    }

    /// Client connections on their way to the successor.
    pub fn connections_passing(&self) -> usize {
        self.passing.load(Ordering::Acquire)
    }
}

/// For each of these names its number in another list.
fn numbers_in(names: &[String], other: &[String]) -> Vec<Option<usize>> {
    names.iter().map(|name| other.iter().position(|known| known == name)).collect()
}
