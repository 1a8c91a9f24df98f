//! Watches over a real connection: the list, its changes, heartbeats and failures.

use super::super::{ListedChange, ListedState};
use super::*;
use crate::connections::serve_connections;
use crate::sync::lock;
use std::io::{BufRead, Write};
use std::sync::{Arc, Mutex};

const TIMEOUT: Duration = Duration::from_secs(5);
const FIRST_REVISION: u64 = 7;

/// An agent of two backends, of which one has an address.
#[derive(Clone)]
struct Agent {
    list: EndpointList,
    form: ChangeForm,
    mode: Arc<Mutex<WatchMode>>,
    /// Revisions of the updates that were written.
    sent: Arc<Mutex<Vec<u64>>>,
}

impl Agent {
    fn new(form: ChangeForm, mode: WatchMode) -> Self {
        let list = EndpointList::new(["a", "b", "unreachable"].map(str::to_owned), FIRST_REVISION);
        Self { list, form, mode: Arc::new(Mutex::new(mode)), sent: Arc::default() }
    }

    fn set_mode(&self, mode: WatchMode) {
        *lock(&self.mode) = mode;
    }

    fn drain(&self, backend: &str) {
        self.list.change(backend, ListedChange { state: ListedState::Draining, has_started: false }, || ());
    }

    /// Opens a watch of a gatekeeper that has the list of this revision, or none.
    fn watch(&self, known: u64) -> BufReader<TcpStream> {
        let agent = self.clone();
        let serve = move |stream| serve_watch(stream, &agent.list, agent.form, &agent);
        let address = serve_connections(([127, 0, 0, 1], 0).into(), serve).expect("it listens");
        let mut stream = TcpStream::connect(address).expect("it accepts");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        // The agent may have closed the connection.
        let _ = write!(stream, "GET /watch?index={known} HTTP/1.1\r\n\r\n");
        BufReader::new(stream)
    }
}

impl WatchSite for Agent {
    type Notice = u64;

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
        lock(&self.sent).push(revision);
    }
}

/// The next line of a watch that holds a list or is a heartbeat; none if the connection ends or nothing comes.
fn next_line(watch: &mut BufReader<TcpStream>) -> Option<String> {
    loop {
        let mut line = String::new();
        match watch.read_line(&mut line) {
            Ok(0) | Err(_) => return None,
            Ok(_) if line.starts_with('{') => return Some(line),
            Ok(_) => {}
        }
    }
}

/// The ids on a line, by the first letters of its entries.
fn ids(line: &str) -> Vec<&str> {
    line.split(r#""uid":""#).skip(1).filter_map(|entry| entry.split('"').next()).collect()
}

#[test]
fn a_watch_gets_the_complete_list_and_then_what_has_changed() {
    let agent = Agent::new(ChangeForm::ChangedBackends, WatchMode::Healthy);
    let mut watch = agent.watch(0);
    let list = next_line(&mut watch).expect("a list");
    assert!(list.contains(r#""rev":7,"all":true"#), "{list}");
    assert_eq!(ids(&list), ["a", "b"], "{list}");
    agent.drain("b");
    let change = next_line(&mut watch).expect("a change");
    assert!(change.contains(r#""rev":8,"all":false"#), "{change}");
    assert_eq!(ids(&change), ["b"], "{change}");
}

#[test]
fn a_gatekeeper_that_has_a_list_gets_what_has_changed_since() {
    let agent = Agent::new(ChangeForm::ChangedBackends, WatchMode::Healthy);
    agent.drain("a");
    let change = next_line(&mut agent.watch(FIRST_REVISION)).expect("a change");
    assert_eq!(ids(&change), ["a"], "{change}");
}

#[test]
fn an_agent_may_send_the_complete_list_on_each_change() {
    let agent = Agent::new(ChangeForm::CompleteList, WatchMode::Healthy);
    let mut watch = agent.watch(FIRST_REVISION);
    assert_eq!(ids(&next_line(&mut watch).expect("a list")), ["a", "b"]);
    agent.drain("a");
    let list = next_line(&mut watch).expect("a list");
    assert!(list.contains(r#""rev":8,"all":true"#), "{list}");
    assert_eq!(ids(&list), ["a", "b"]);
    assert_eq!(*lock(&agent.sent), [FIRST_REVISION, FIRST_REVISION + 1]);
}

#[test]
fn a_watch_without_changes_gets_empty_lines() {
    let mut watch = Agent::new(ChangeForm::ChangedBackends, WatchMode::Healthy).watch(0);
    next_line(&mut watch).expect("a list");
    let mut lines = watch.lines().map_while(Result::ok).skip(1);
    assert_eq!(lines.next().as_deref(), Some("1"), "a chunk of one byte");
    assert_eq!(lines.next().as_deref(), Some(""));
}

#[test]
fn an_agent_that_is_down_closes_connections() {
    let agent = Agent::new(ChangeForm::ChangedBackends, WatchMode::Down);
    assert_eq!(next_line(&mut agent.watch(0)), None);
    agent.set_mode(WatchMode::Slow(Duration::from_millis(1)));
    let mut watch = agent.watch(0);
    assert!(next_line(&mut watch).is_some());
    agent.set_mode(WatchMode::Down);
    let closed = Instant::now();
    assert_eq!(next_line(&mut watch), None);
    assert!(closed.elapsed() < TIMEOUT, "it ends, and does not only fall silent");
}

#[test]
fn a_silent_agent_keeps_the_connection_and_sends_nothing() {
    let agent = Agent::new(ChangeForm::ChangedBackends, WatchMode::Silent);
    let watch = agent.watch(0);
    let short = Duration::from_millis(100);
    watch.get_ref().set_read_timeout(Some(short)).expect("a timeout");
    let error = std::io::Read::read(&mut watch.get_ref(), &mut [0]).expect_err("nothing comes");
    assert!(crate::connections::is_temporary(&error), "{error}");
    assert_eq!(*lock(&agent.sent), [0; 0]);
}
