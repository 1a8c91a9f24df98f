//! A running gatekeeper: the parts that a reload and a shutdown act on.

use crate::admin_service::AdminService;
use crate::hot_restart::HotRestart;
use counter::CounterClient;
use destination::{BackendPools, RespProtocol};
use discovery::Watch;
use front_resp::{Front, RespExchange};
use link::Listener;
use settings::{KeySet, Numbering};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The parts of a running gatekeeper.
pub(super) struct Running {
    pub(super) exchange: Arc<RespExchange>,
    pub(super) pools: Arc<BackendPools<RespProtocol>>,
    pub(super) front: Arc<Front>,
    pub(super) listener: Arc<Listener>,
    pub(super) watch: Arc<Watch>,
    pub(super) counter: Option<Arc<CounterClient>>,
    pub(super) admin: Arc<AdminService>,
    pub(super) hot_restart: Arc<HotRestart>,
    pub(super) config_in_force: Mutex<ConfigInForce>,
    pub(super) longest_deadline: LongestDeadline,
}

/// The keys, classes and plans of the configuration in force.
pub(super) struct ConfigInForce {
    pub(super) keys: KeySet,
    pub(super) numbering: Numbering,
}

/// The longest deadline in any configuration since the process started. A request that was accepted under an earlier
/// configuration may still be in flight.
pub(super) struct LongestDeadline {
    micros: AtomicU64,
}

impl LongestDeadline {
    /// Creates the value from the longest deadline in the first configuration.
    pub(super) fn new(deadline: Duration) -> Self {
        Self { micros: AtomicU64::new(deadline.as_micros() as u64) }
    }

    /// Raises the value to the longest deadline of a new configuration if that deadline is longer.
    pub(super) fn include(&self, deadline: Duration) {
        self.micros.fetch_max(deadline.as_micros() as u64, Ordering::Relaxed);
    }

    /// Returns the longest deadline in any configuration since the process started.
    pub(super) fn get(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }
}
