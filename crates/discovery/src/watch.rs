//! The watch: reads the agent's response, detects silence, and sends a new request after the response has ended.

use crate::error::WatchError;
use crate::poll_backoff::{PollBackoff, SILENCE_TIMEOUT};
use crate::response::{BodyItem, Response};
use link::{Connection, Incoming, lock_or_abort};
use settings::EndpointList;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the address of the agent is checked for a change during a backoff.
const ADDRESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of bytes of one read.
const READ_BYTES: usize = 16 * 1024;

/// A watch on the endpoint list of the discovery agent.
pub struct Watch {
    agent: Mutex<Agent>,
}

/// The agent's address and the connection to it.
struct Agent {
    address: SocketAddr,
    connection: Option<AgentConnection>,
}

/// An open connection, and the deadline for the next activity of the agent.
struct AgentConnection {
    connection: Arc<Connection>,
    deadline: Instant,
}

impl AgentConnection {
    fn close(&self) {
        self.connection.close();
    }

    fn is_silent(&self) -> bool {
        Instant::now() > self.deadline
    }

    /// Extends the deadline after activity of the agent.
    fn extend_deadline(&mut self) {
        self.deadline = Instant::now() + SILENCE_TIMEOUT;
    }
}

/// What a watch reports to its listener.
#[derive(Debug)]
pub enum WatchEvent {
    /// The agent sent an endpoint list, either complete or with the changed endpoints only.
    EndpointList(EndpointList),
    /// A request failed, or the watch ended. Changes are not reported until the next list.
    Lost,
}

/// State of a running watch that lasts over several connections.
struct WatchSession<Listener> {
    /// Version of the last list that was received.
    version: u64,
    /// Whether the end of the watch was logged, and no list has arrived since.
    is_lost: bool,
    listener: Listener,
}

impl<Listener: Fn(WatchEvent)> WatchSession<Listener> {
    fn on_list(&mut self, list: EndpointList) {
        if self.is_lost {
            tracing::info!(version = list.revision, "discovery watch recovered");
            self.is_lost = false;
        }
        self.version = list.revision;
        (self.listener)(WatchEvent::EndpointList(list));
    }

    fn on_lost(&mut self, error: &WatchError) {
        (self.listener)(WatchEvent::Lost);
        if !self.is_lost {
            let version = self.version;
            tracing::warn!(version, %error, "discovery watch failed, previous list kept in force");
            self.is_lost = true;
        }
    }
}

impl Watch {
    /// Creates a watch that is not yet running.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self { agent: Mutex::new(Agent { address, connection: None }) })
    }

    /// Continues the watch at this address, from the version of the last list. Returns whether the address has changed.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let mut agent = lock_or_abort(&self.agent);
        if std::mem::replace(&mut agent.address, address) == address {
            return false;
        }
        // The old agent may never close the connection, and its lists must no longer be used.
        if let Some(connection) = agent.connection.take() {
            connection.close();
        }
        true
    }

    /// Closes the connection if it has been silent for too long. The caller runs this several times a second.
    pub fn close_if_silent(&self) {
        if let Some(connection) = &lock_or_abort(&self.agent).connection
            && connection.is_silent()
        {
            connection.close();
        }
    }

    /// Runs the watch until the process ends, and requests the changes after this version first. The caller must be a coroutine
    /// with a large stack, since parsing JSON recurses.
    pub fn run(&self, version: u64, mut backoff: PollBackoff, listener: impl Fn(WatchEvent)) {
        let mut session = WatchSession { version, is_lost: false, listener };
        loop {
            let address = lock_or_abort(&self.agent).address;
            let requested_at = Instant::now();
            let Err(error) = self.read_response(address, &mut session, backoff.response_timeout());
            lock_or_abort(&self.agent).connection.take();
            if !self.is_current_address(address) {
                // A change of the address is not a failure. The watch is requested from the new agent at once.
                continue;
            }
            session.on_lost(&error);
            self.wait(address, backoff.next_backoff(requested_at.elapsed()));
        }
    }

    fn is_current_address(&self, address: SocketAddr) -> bool {
        lock_or_abort(&self.agent).address == address
    }

    /// Waits for the backoff, or until the agent's address changes.
    fn wait(&self, address: SocketAddr, backoff: Duration) {
        let end = Instant::now() + backoff;
        while self.is_current_address(address) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            link::sleep(left.min(ADDRESS_CHECK_INTERVAL));
        }
    }

    /// Requests the watch and reads the response until it ends.
    fn read_response(
        &self,
        address: SocketAddr,
        session: &mut WatchSession<impl Fn(WatchEvent)>,
        response_timeout: Duration,
    ) -> Result<Infallible, WatchError> {
        let connection = self.connect(address, response_timeout)?;
        connection.send(encode_request(address, session.version).as_bytes())?;
        let (mut received, mut response) = (Vec::new(), Response::new());
        loop {
            match connection.receive(&mut received, READ_BYTES)? {
                Incoming::Bytes(_) | Incoming::Woken => {}
                Incoming::End => return Err(WatchError::Closed),
            }
            self.handle_received(&mut received, &mut response, session)?;
            if response.is_complete() {
                return Err(WatchError::ResponseEnded);
            }
        }
    }

    /// Reports the lists in received bytes. The head of the response and each item of its body count as activity.
    fn handle_received(
        &self,
        received: &mut Vec<u8>,
        response: &mut Response,
        session: &mut WatchSession<impl Fn(WatchEvent)>,
    ) -> Result<(), WatchError> {
        let had_head = response.has_head();
        response.consume(received)?;
        if !had_head && response.has_head() {
            self.extend_deadline();
        }
        while let Some(item) = response.next_item()? {
            if let BodyItem::List(list) = item {
                session.on_list(list);
            }
            self.extend_deadline();
        }
        Ok(())
    }

    /// Connects to the agent, which must send the head of its response within `response_timeout`.
    fn connect(
        &self,
        address: SocketAddr,
        response_timeout: Duration,
    ) -> Result<Arc<Connection>, WatchError> {
        let connection = Arc::new(Connection::connect(address, CONNECT_TIMEOUT).map_err(io::Error::from)?);
        let mut agent = lock_or_abort(&self.agent);
        if agent.address != address {
            return Err(WatchError::AddressChanged);
        }
        let deadline = Instant::now() + response_timeout;
        agent.connection = Some(AgentConnection { connection: connection.clone(), deadline });
        Ok(connection)
    }

    /// Extends the deadline for the next activity of the agent.
    fn extend_deadline(&self) {
        if let Some(connection) = &mut lock_or_abort(&self.agent).connection {
            connection.extend_deadline();
        }
    }
}

/// Encodes the request for a watch on all changes after this version.
fn encode_request(address: SocketAddr, version: u64) -> String {
    format!("GET /discovery/hosts?stream=1&index={version} HTTP/1.1\r\nHost: {address}\r\n\r\n")
}
