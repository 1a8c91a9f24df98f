//! Discovery: one endpoint list, which each gatekeeper gets from a discovery agent of its own.

use crate::history::{
    BackendIndex, DiscoveryChange, GatekeeperIndex, ListChange, Moment, Notification, Recorder,
};
use fault_harness::connections::serve_connections;
use fault_harness::stand_ins::{
    ChangeForm, EndpointList, ListUpdate, ListedChange, ListedState, WatchMode, WatchSite, serve_watch,
};
use fault_harness::sync::lock;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Delay of the first answer of a slow discovery agent to a watch.
const SLOW_ANSWER: Duration = Duration::from_millis(600);
/// Revision of the list before its first change.
const FIRST_REVISION: u64 = 1;

/// How a discovery agent answers its gatekeeper.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The agent answers watches at once.
    #[default]
    Healthy,
    /// The agent delays its first answer to a new watch.
    Slow,
    /// The agent sends nothing on open and new watches.
    Silent,
    /// The agent closes open watches and new connections.
    Down,
}

/// The endpoint list of all gatekeepers, which records its changes. Clones share one list.
#[derive(Clone)]
pub struct SharedList {
    endpoints: EndpointList,
    addresses: Arc<HashMap<String, SocketAddr>>,
    recorder: Recorder,
}

impl SharedList {
    /// Creates a list of backends at these addresses, all of which are up and past their slow start.
    pub fn new(addresses: &[SocketAddr], recorder: &Recorder) -> Self {
        let ids = (0..addresses.len()).map(backend_id);
        Self {
            endpoints: EndpointList::new(ids.clone(), FIRST_REVISION),
            addresses: Arc::new(ids.zip(addresses.iter().copied()).collect()),
            recorder: recorder.clone(),
        }
    }

    /// Changes the listed state of a backend and records the change. `has_just_started` tells whether the backend has just
    /// started.
    pub fn change(&self, backend: BackendIndex, state: ListedState, has_just_started: bool) {
        self.endpoints.change(&backend_id(backend), ListedChange { state, has_just_started }, || {
            let change = ListChange { at: self.recorder.now(), backend, state, has_just_started };
            self.recorder.record(|history| history.list_changes.push(change));
        });
    }
}

/// The id of a backend in the endpoint list and in violations.
pub(crate) fn backend_id(backend: BackendIndex) -> String {
    format!("s-{backend:04}")
}

/// The discovery agent of one gatekeeper. Clones share its mode.
#[derive(Clone)]
pub struct Discovery {
    list: SharedList,
    mode: Arc<Mutex<DiscoveryMode>>,
    gatekeeper: GatekeeperIndex,
}

impl Discovery {
    /// Starts the agent of a gatekeeper, which listens at `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr, list: &SharedList, gatekeeper: GatekeeperIndex) -> io::Result<Self> {
        let discovery = Self { list: list.clone(), mode: Arc::default(), gatekeeper };
        let served = discovery.clone();
        serve_connections(address, move |stream| {
            serve_watch(stream, &served.list.endpoints, ChangeForm::ChangedBackends, &served);
        })?;
        Ok(discovery)
    }

    /// Changes how the agent answers, and records whether it counts as reachable.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        *lock(&self.mode) = mode;
        let is_reachable = mode == DiscoveryMode::Healthy;
        let change =
            DiscoveryChange { at: self.list.recorder.now(), gatekeeper: self.gatekeeper, is_reachable };
        self.list.recorder.record(|history| history.discovery_changes.push(change));
    }
}

/// A list update that is about to be written to a gatekeeper.
pub struct PendingNotification {
    at: Moment,
    /// Number of changes of the list that the update includes.
    changes: usize,
}

impl WatchSite for Discovery {
    type PendingUpdate = PendingNotification;

    fn mode(&self) -> WatchMode {
        match *lock(&self.mode) {
            DiscoveryMode::Healthy => WatchMode::Healthy,
            DiscoveryMode::Slow => WatchMode::Slow(SLOW_ANSWER),
            DiscoveryMode::Silent => WatchMode::Silent,
            DiscoveryMode::Down => WatchMode::Down,
        }
    }

    fn address(&self, backend: &str) -> Option<SocketAddr> {
        self.list.addresses.get(backend).copied()
    }

    fn sending(&self, update: &ListUpdate) -> PendingNotification {
        // Each change raises the revision by one, and an update includes all changes so far.
        let changes = update.revision.saturating_sub(FIRST_REVISION) as usize;
        PendingNotification { at: self.list.recorder.now(), changes }
    }

    fn sent(&self, PendingNotification { at, changes }: PendingNotification) {
        let notification = Notification { at, gatekeeper: self.gatekeeper, changes };
        self.list.recorder.record(|history| history.notifications.push(notification));
    }
}
