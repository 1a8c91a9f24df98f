//! Discovery: one endpoint list, served to each gatekeeper by an agent of its own.

use super::serve;
use crate::history::{
    BackendIndex, DiscoveryChange, GatekeeperIndex, ListChange, ListedState, Notification, Recorder,
};
use fault_injection::sync::lock;
use fault_injection::wire;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An empty line is sent on a watch on which nothing changes for so long.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a watch checks its mode.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of the answers of slow discovery.
const SLOW_ANSWER: Duration = Duration::from_millis(600);

/// How discovery answers a gatekeeper.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// At once.
    #[default]
    Healthy,
    /// It begins its answers late.
    Slow,
    /// Open watches and new ones get nothing.
    Silent,
    /// Open watches end, and new connections are closed.
    Down,
}

/// A backend on the list.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    address: SocketAddr,
    state: ListedState,
    /// Its last start in Unix milliseconds; 0 for long ago.
    boot_ms: u64,
    /// The revision of its last change.
    revision: u64,
}

#[derive(Default)]
struct List {
    revision: u64,
    endpoints: Vec<Endpoint>,
}

/// The endpoint list. Clones share it.
#[derive(Clone)]
pub struct EndpointList {
    shared: Arc<(Mutex<List>, Condvar)>,
    recorder: Recorder,
}

/// What a watch is sent.
struct Update {
    text: String,
    revision: u64,
}

impl EndpointList {
    /// Lists these backends, which were started long ago.
    pub fn new(addresses: &[SocketAddr], recorder: &Recorder) -> Self {
        let endpoint =
            |&address: &SocketAddr| Endpoint { address, state: ListedState::Up, boot_ms: 0, revision: 1 };
        let list = List { revision: 1, endpoints: addresses.iter().map(endpoint).collect() };
        Self { shared: Arc::new((Mutex::new(list), Condvar::new())), recorder: recorder.clone() }
    }

    /// Changes a backend's state. `has_started`: it has just started.
    pub fn change(&self, backend: BackendIndex, state: ListedState, has_started: bool) {
        let mut list = lock(&self.shared.0);
        list.revision += 1;
        let revision = list.revision;
        let Some(endpoint) = list.endpoints.get_mut(backend) else { return };
        endpoint.state = state;
        endpoint.revision = revision;
        if has_started {
            endpoint.boot_ms = unix_ms();
        }
        let at = self.recorder.now();
        let change = ListChange { at, backend, state, has_started };
        self.recorder.record(|history| history.list_changes.push(change));
        self.shared.1.notify_all();
    }

    /// What has changed after a revision, or all that is listed.
    fn update(&self, since: Option<u64>) -> Update {
        let list = lock(&self.shared.0);
        let is_wanted = |endpoint: &Endpoint| match since {
            Some(revision) => endpoint.revision > revision,
            None => endpoint.state != ListedState::Removed,
        };
        let entries = list.endpoints.iter().enumerate().filter(|(_, endpoint)| is_wanted(endpoint));
        let entries: Vec<String> = entries.map(|(backend, endpoint)| entry(backend, endpoint)).collect();
        let (revision, is_complete) = (list.revision, since.is_none());
        let text = format!(r#"{{"rev":{revision},"all":{is_complete},"targets":[{}]}}"#, entries.join(","));
        Update { text, revision }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The id of a backend.
pub(crate) fn backend_id(backend: BackendIndex) -> String {
    format!("s-{backend:04}")
}

fn entry(backend: BackendIndex, endpoint: &Endpoint) -> String {
    let state = match endpoint.state {
        ListedState::Up => "up",
        ListedState::Draining => "draining",
        ListedState::Removed => "removed",
    };
    let (id, address, boot_ms) = (backend_id(backend), endpoint.address, endpoint.boot_ms);
    format!(
        r#"{{"uid":"{id}","endpoint":"{address}","az":"z","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
    )
}

/// The discovery agent of one gatekeeper. Clones share its mode.
#[derive(Clone)]
pub struct Discovery {
    list: EndpointList,
    mode: Arc<Mutex<DiscoveryMode>>,
    gatekeeper: GatekeeperIndex,
}

impl Discovery {
    /// Listens here for a gatekeeper.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn start(address: SocketAddr, list: &EndpointList, gatekeeper: GatekeeperIndex) -> io::Result<Self> {
        let discovery = Self { list: list.clone(), mode: Arc::default(), gatekeeper };
        let served = discovery.clone();
        serve(address, move |stream| served.serve(stream))?;
        Ok(discovery)
    }

    /// Answers like this from now on.
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
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let Some(request) = wire::read_http_message(&mut BufReader::new(read)) else { return };
        if self.mode() == DiscoveryMode::Slow {
            std::thread::sleep(SLOW_ANSWER);
        }
        if self.mode() == DiscoveryMode::Silent {
            return super::wait_for_end(&mut stream, Duration::from_secs(30));
        }
        let _ = self.follow(&mut stream, index_of(request.target_or_status()));
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Streams changes until discovery fails or the gatekeeper closes the connection.
    fn follow(&self, stream: &mut TcpStream, index: u64) -> io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        // The first answer is the whole list for who has none, and else what has changed.
        let mut sent = self.send(stream, (index > 0).then_some(index))?;
        let mut last_line = Instant::now();
        loop {
            {
                let list = lock(&self.list.shared.0);
                let is_unchanged = |list: &mut List| list.revision == sent;
                drop(self.list.shared.1.wait_timeout_while(list, CHECK_INTERVAL, is_unchanged));
            }
            match self.mode() {
                DiscoveryMode::Down => return Ok(()),
                DiscoveryMode::Silent => {
                    super::wait_for_end(stream, Duration::from_secs(30));
                    return Ok(());
                }
                DiscoveryMode::Healthy | DiscoveryMode::Slow => {}
            }
            if lock(&self.list.shared.0).revision != sent {
                sent = self.send(stream, Some(sent))?;
                last_line = Instant::now();
            } else if last_line.elapsed() >= HEARTBEAT_INTERVAL {
                write_chunk(stream, "")?;
                last_line = Instant::now();
            }
        }
    }

    /// Sends the changes since a revision and records the notification.
    fn send(&self, stream: &mut TcpStream, since: Option<u64>) -> io::Result<u64> {
        let update = self.list.update(since);
        let recorder = &self.list.recorder;
        // What was changed by then is told with it: a revision is one change more.
        let changes = update.revision.saturating_sub(1) as usize;
        let at = recorder.now();
        write_chunk(stream, &update.text)?;
        let notification = Notification { at, gatekeeper: self.gatekeeper, changes };
        recorder.record(|history| history.notifications.push(notification));
        Ok(update.revision)
    }
}

fn write_chunk(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

/// The index of a request for a watch.
fn index_of(target: &str) -> u64 {
    target.split_once("index=").and_then(|(_, index)| index.parse().ok()).unwrap_or(0)
}
