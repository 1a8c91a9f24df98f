//! Tests watches over real connections: the list, its changes, heartbeats and failures.

use super::super::{ListedChange, ListedState};
use super::*;
use crate::connections::serve_connections;
use crate::sync::lock;
use crate::wait::wait_until;
use std::io::{BufRead, Write};
use std::sync::{Arc, Mutex};

const TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const FIRST_REVISION: u64 = 7;

/// An agent whose list has three backends, two of which have an address.
#[derive(Clone)]
struct Agent {
    list: EndpointList,
    form: ChangeForm,
    mode: Arc<Mutex<WatchMode>>,
    /// Revisions of the updates that were written.
    sent_revisions: Arc<Mutex<Vec<u64>>>,
}

impl Agent {
    fn new(form: ChangeForm, mode: WatchMode) -> Self {
        let list = EndpointList::new(["a", "b", "unreachable"].map(str::to_owned), FIRST_REVISION);
        Self { list, form, mode: Arc::new(Mutex::new(mode)), sent_revisions: Arc::default() }
    }

    fn set_mode(&self, mode: WatchMode) {
        *lock(&self.mode) = mode;
    }

    fn drain(&self, backend: &str) {
        self.list.change(
            backend,
            ListedChange { state: ListedState::Draining, has_just_started: false },
            || (),
        );
    }

    /// Opens a watch of a gatekeeper that has the list with this revision, or no list if that is 0.
    fn watch(&self, known_revision: u64) -> BufReader<TcpStream> {
        let agent = self.clone();
        let serve = move |stream| serve_watch(stream, &agent.list, agent.form, &agent);
        let address = serve_connections(([127, 0, 0, 1], 0).into(), serve).expect("the server listens");
        let mut stream = TcpStream::connect(address).expect("the server accepts the connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("the read timeout is set");
        // The write fails if the agent has already closed the connection.
        let _ = write!(stream, "GET /watch?index={known_revision} HTTP/1.1\r\n\r\n");
        BufReader::new(stream)
    }
}

impl WatchSite for Agent {
    type PendingUpdate = u64;

    fn mode(&self) -> WatchMode {
        *lock(&self.mode)
    }

    fn address(&self, backend: &str) -> Option<SocketAddr> {
        (backend != "unreachable").then(|| ([127, 0, 0, 1], 1).into())
    }

    fn sending(&self, update: &ListUpdate) -> u64 {
        update.revision
    }

    fn sent(&self, revision: u64) {
        lock(&self.sent_revisions).push(revision);
    }
}

/// The next line of a watch with an update; none if the connection ends or no line arrives in time.
fn next_update(watch: &mut BufReader<TcpStream>) -> Option<String> {
    loop {
        let mut line = String::new();
        match watch.read_line(&mut line) {
            Ok(0) | Err(_) => return None,
            Ok(_) if line.starts_with('{') => return Some(line),
            Ok(_) => {}
        }
    }
}

/// The ids of the backends in an update.
fn ids(line: &str) -> Vec<&str> {
    line.split(r#""uid":""#).skip(1).filter_map(|entry| entry.split('"').next()).collect()
}

#[test]
fn a_watch_gets_the_complete_list_and_then_the_changes() {
    let agent = Agent::new(ChangeForm::ChangedBackends, WatchMode::Healthy);
    let mut watch = agent.watch(0);
    let list = next_update(&mut watch).expect("a list");
    assert!(list.contains(r#""rev":7,"all":true"#), "{list}");
    assert_eq!(ids(&list), ["a", "b"], "{list}");
    agent.drain("b");
    let change = next_update(&mut watch).expect("a change");
    assert!(change.contains(r#""rev":8,"all":false"#), "{change}");
    assert_eq!(ids(&change), ["b"], "{change}");
}

#[test]
fn a_gatekeeper_that_has_a_list_gets_the_changes_since_its_revision() {
    let agent = Agent::new(ChangeForm::ChangedBackends, WatchMode::Healthy);
    agent.drain("a");
    let change = next_update(&mut agent.watch(FIRST_REVISION)).expect("a change");
    assert_eq!(ids(&change), ["a"], "{change}");
}

#[test]
fn an_agent_may_send_the_complete_list_on_each_change() {
    let agent = Agent::new(ChangeForm::CompleteList, WatchMode::Healthy);
    let mut watch = agent.watch(FIRST_REVISION);
    assert_eq!(ids(&next_update(&mut watch).expect("a list")), ["a", "b"]);
    agent.drain("a");
    let list = next_update(&mut watch).expect("a list");
    assert!(list.contains(r#""rev":8,"all":true"#), "{list}");
    assert_eq!(ids(&list), ["a", "b"]);
    // The agent records a revision only after it has written the line, so the line can arrive first.
    wait_until(TIMEOUT, POLL_INTERVAL, || lock(&agent.sent_revisions).len() >= 2);
    assert_eq!(*lock(&agent.sent_revisions), [FIRST_REVISION, FIRST_REVISION + 1]);
}

#[test]
fn a_watch_without_changes_gets_an_empty_line_as_heartbeat() {
    let mut watch = Agent::new(ChangeForm::ChangedBackends, WatchMode::Healthy).watch(0);
    next_update(&mut watch).expect("a list");
    let mut lines = watch.lines().map_while(Result::ok).skip(1);
    assert_eq!(lines.next().as_deref(), Some("1"), "a chunk of one byte");
    assert_eq!(lines.next().as_deref(), Some(""));
}

#[test]
fn an_agent_that_is_down_closes_connections() {
    let agent = Agent::new(ChangeForm::ChangedBackends, WatchMode::Down);
    assert_eq!(next_update(&mut agent.watch(0)), None);
    agent.set_mode(WatchMode::Slow(Duration::from_millis(1)));
    let mut watch = agent.watch(0);
    assert!(next_update(&mut watch).is_some());
    agent.set_mode(WatchMode::Down);
    let closed = Instant::now();
    assert_eq!(next_update(&mut watch), None);
    assert!(closed.elapsed() < TIMEOUT, "the agent closes the watch instead of only staying silent");
}

#[test]
fn a_silent_agent_keeps_the_connection_and_sends_nothing() {
    let agent = Agent::new(ChangeForm::ChangedBackends, WatchMode::Silent);
    let watch = agent.watch(0);
    let short = Duration::from_millis(100);
    watch.get_ref().set_read_timeout(Some(short)).expect("the read timeout is set");
    let error = std::io::Read::read(&mut watch.get_ref(), &mut [0]).expect_err("no bytes arrive");
    assert!(crate::connections::is_temporary(&error), "{error}");
    assert_eq!(*lock(&agent.sent_revisions), [0; 0]);
}
