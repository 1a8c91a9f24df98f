//! The endpoint list of the discovery stand-ins, and its form on the wire of a watch.

use crate::sync::lock;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval at which a watch without changes gets an empty line.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Whether a backend is eligible for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The backend is eligible for new requests.
    Up,
    /// The backend gets no new requests and finishes those that it has.
    Draining,
    /// The backend is not on the list any more.
    Removed,
}

impl ListedState {
    /// The name of the state on the wire.
    fn name(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Draining => "draining",
            Self::Removed => "removed",
        }
    }
}

/// A backend on the list, also after its removal.
#[derive(Clone, Debug)]
pub struct ListedBackend {
    /// Identifies the backend on the list.
    pub id: String,
    /// State of the backend since its last change.
    pub state: ListedState,
    /// Unix time in milliseconds at which the backend last started; 0 if that is long ago.
    boot_ms: u64,
    /// Revision of the list at the backend's last change.
    revision: u64,
}

impl ListedBackend {
    fn json(&self, address: SocketAddr) -> String {
        let (id, state, boot_ms) = (&self.id, self.state.name(), self.boot_ms);
        format!(
            r#"{{"uid":"{id}","endpoint":"{address}","az":"z","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
        )
    }
}

/// A change of one backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedChange {
    /// State of the backend after the change.
    pub state: ListedState,
    /// Whether the backend has just started.
    pub has_just_started: bool,
}

/// An update that a watch is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// Revision of the list that the update brings the gatekeeper to.
    pub revision: u64,
    /// The revision and the backends as one line of JSON.
    pub text: String,
}

#[derive(Debug)]
struct List {
    revision: u64,
    backends: Vec<ListedBackend>,
}

/// Handle of the endpoint list. Clones share one list.
#[derive(Clone, Debug)]
pub struct EndpointList {
    shared: Arc<(Mutex<List>, Condvar)>,
}

impl EndpointList {
    /// Creates a list with this revision of backends that are up and started long ago.
    pub fn new(ids: impl IntoIterator<Item = String>, revision: u64) -> Self {
        let backend = |id| ListedBackend { id, state: ListedState::Up, boot_ms: 0, revision };
        let backends = ids.into_iter().map(backend).collect();
        Self { shared: Arc::new((Mutex::new(List { revision, backends }), Condvar::new())) }
    }

    /// Changes the backend with this id, if there is one, and wakes all watches. `observe` is called before any watch can see the
    /// change.
    pub fn change(&self, id: &str, change: ListedChange, observe: impl FnOnce()) {
        let mut list = lock(&self.shared.0);
        let revision = list.revision + 1;
        let Some(backend) = list.backends.iter_mut().find(|backend| backend.id == id) else { return };
        (backend.state, backend.revision) = (change.state, revision);
        if change.has_just_started {
            backend.boot_ms = unix_ms();
        }
        list.revision = revision;
        observe();
        self.shared.1.notify_all();
    }

    /// The current revision. Each change raises it by one.
    pub fn revision(&self) -> u64 {
        lock(&self.shared.0).revision
    }

    /// All backends, including removed ones.
    pub fn backends(&self) -> Vec<ListedBackend> {
        lock(&self.shared.0).backends.clone()
    }

    /// Creates an update for a gatekeeper that reaches the backends at these addresses. It has the backends that have changed
    /// after revision `since`, or all listed backends if that is none. Backends without an address are left out.
    pub fn update(&self, since: Option<u64>, address: impl Fn(&str) -> Option<SocketAddr>) -> ListUpdate {
        let list = lock(&self.shared.0);
        let is_included = |backend: &&ListedBackend| match since {
            Some(revision) => backend.revision > revision,
            None => backend.state != ListedState::Removed,
        };
        let included = list.backends.iter().filter(is_included);
        let targets: Vec<String> =
            included.filter_map(|backend| Some(backend.json(address(&backend.id)?))).collect();
        let (revision, is_complete) = (list.revision, since.is_none());
        let text = format!(r#"{{"rev":{revision},"all":{is_complete},"targets":[{}]}}"#, targets.join(","));
        ListUpdate { revision, text }
    }

    /// Waits up to `timeout` until the revision of the list differs from `revision`.
    pub fn wait_for_change(&self, revision: u64, timeout: Duration) {
        let is_unchanged = |list: &mut List| list.revision == revision;
        drop(self.shared.1.wait_timeout_while(lock(&self.shared.0), timeout, is_unchanged));
    }
}

/// Writes the head of the HTTP response to a watch. The lines of the watch follow as chunks.
///
/// # Errors
///
/// The connection has ended.
pub fn write_watch_head(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

/// Writes a line of a watch as one chunk of the HTTP response.
///
/// # Errors
///
/// The connection has ended.
pub fn write_watch_line(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

#[cfg(test)]
mod tests;
