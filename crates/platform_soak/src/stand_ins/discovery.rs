//! Discovery: one endpoint list, served to each gatekeeper by an agent of its own.

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

/// Delay of the answers of slow discovery.
const SLOW_ANSWER: Duration = Duration::from_millis(600);
/// The revision of the list at the start.
const FIRST_REVISION: u64 = 1;

/// How discovery answers a gatekeeper.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// At once.
    #[default]
    Healthy,
    /// It delays its answers.
    Slow,
    /// Open watches and new ones get nothing.
    Silent,
    /// Open watches end, and new connections are closed.
    Down,
}

/// The endpoint list of all gatekeepers, whose changes are recorded. Clones share it.
#[derive(Clone)]
pub struct SharedList {
    endpoints: EndpointList,
    addresses: Arc<HashMap<String, SocketAddr>>,
    recorder: Recorder,
}

impl SharedList {
    /// A list of backends that started long ago.
    pub fn new(addresses: &[SocketAddr], recorder: &Recorder) -> Self {
        let ids = (0..addresses.len()).map(backend_id);
        Self {
            endpoints: EndpointList::new(ids.clone(), FIRST_REVISION),
            addresses: Arc::new(ids.zip(addresses.iter().copied()).collect()),
            recorder: recorder.clone(),
        }
    }

    /// Changes a backend's state and records that. `has_started` tells whether the backend has just started.
    pub fn change(&self, backend: BackendIndex, state: ListedState, has_started: bool) {
        self.endpoints.change(&backend_id(backend), ListedChange { state, has_started }, || {
            let change = ListChange { at: self.recorder.now(), backend, state, has_started };
            self.recorder.record(|history| history.list_changes.push(change));
        });
    }
}

/// The id of a backend.
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
    /// Listens at this address for a gatekeeper.
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

    /// Changes how it answers.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        *lock(&self.mode) = mode;
        let is_reachable = mode == DiscoveryMode::Healthy;
        let change =
            DiscoveryChange { at: self.list.recorder.now(), gatekeeper: self.gatekeeper, is_reachable };
        self.list.recorder.record(|history| history.discovery_changes.push(change));
    }
}

/// An update that is about to be written.
pub struct Notice {
    at: Moment,
    /// Number of changes of the list so far.
    changes: usize,
}

impl WatchSite for Discovery {
    type Notice = Notice;

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

    fn sending(&self, update: &ListUpdate) -> Notice {
        // Each change raises the revision by one; the update includes all of them so far.
        let changes = update.revision.saturating_sub(FIRST_REVISION) as usize;
        Notice { at: self.list.recorder.now(), changes }
    }

    fn sent(&self, Notice { at, changes }: Notice) {
        let notification = Notification { at, gatekeeper: self.gatekeeper, changes };
        self.list.recorder.record(|history| history.notifications.push(notification));
    }
}
