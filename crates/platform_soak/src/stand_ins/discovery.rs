//! Discovery: one endpoint list, served to each gatekeeper by an agent of its own.

use crate::history::{BackendIndex, DiscoveryChange, GatekeeperIndex, ListChange, Notification, Recorder};
use fault_harness::connections::{keep_silent_for, serve_connections};
use fault_harness::stand_ins::{
    EndpointList, HEARTBEAT_INTERVAL, ListedChange, ListedState, write_watch_head, write_watch_line,
};
use fault_harness::sync::lock;
use fault_harness::wire;
use std::collections::HashMap;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval at which a watch checks its mode.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of the answers of slow discovery.
const SLOW_ANSWER: Duration = Duration::from_millis(600);
/// Maximum time for which a watch gets nothing before it ends.
const MAX_SILENCE: Duration = Duration::from_secs(30);
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
        serve_connections(address, move |stream| served.serve(stream))?;
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

    fn mode(&self) -> DiscoveryMode {
        *lock(&self.mode)
    }

    fn serve(&self, mut stream: TcpStream) {
        if self.mode() == DiscoveryMode::Down {
            return;
        }
        let Ok(read) = stream.try_clone() else { return };
        let Some(request) = wire::read_http_message(&mut BufReader::new(read)) else { return };
        if self.mode() == DiscoveryMode::Slow {
            std::thread::sleep(SLOW_ANSWER);
        }
        if self.mode() == DiscoveryMode::Silent {
            return keep_silent_for(&mut stream, MAX_SILENCE);
        }
        let _ = self.follow(&mut stream, index_of(request.target_or_status()));
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Streams changes until discovery fails or the gatekeeper closes the connection.
    fn follow(&self, stream: &mut TcpStream, index: u64) -> io::Result<()> {
        write_watch_head(stream)?;
        // A gatekeeper without a list gets all of it first, and another one what has changed.
        let mut sent = self.send(stream, (index > 0).then_some(index))?;
        let mut last_line = Instant::now();
        loop {
            self.list.endpoints.wait_for_change(sent, CHECK_INTERVAL);
            match self.mode() {
                DiscoveryMode::Down => return Ok(()),
                DiscoveryMode::Silent => {
                    keep_silent_for(stream, MAX_SILENCE);
                    return Ok(());
                }
                DiscoveryMode::Healthy | DiscoveryMode::Slow => {}
            }
            if self.list.endpoints.revision() != sent {
                sent = self.send(stream, Some(sent))?;
                last_line = Instant::now();
            } else if last_line.elapsed() >= HEARTBEAT_INTERVAL {
                write_watch_line(stream, "")?;
                last_line = Instant::now();
            }
        }
    }

    /// Sends the changes since a revision and records the notification.
    fn send(&self, stream: &mut TcpStream, since: Option<u64>) -> io::Result<u64> {
        let update = self.list.endpoints.update(since, |id| self.list.addresses.get(id).copied());
        let recorder = &self.list.recorder;
        // Each change raises the revision by one; the update includes all of them so far.
        let changes = update.revision.saturating_sub(FIRST_REVISION) as usize;
        let at = recorder.now();
        write_watch_line(stream, &update.text)?;
        let notification = Notification { at, gatekeeper: self.gatekeeper, changes };
        recorder.record(|history| history.notifications.push(notification));
        Ok(update.revision)
    }
}

/// The index in the target of a watch request.
fn index_of(target: &str) -> u64 {
    target.split_once("index=").and_then(|(_, index)| index.parse().ok()).unwrap_or(0)
}
