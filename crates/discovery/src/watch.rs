//! The watch: it follows the agent's response, notices silence, and requests the watch again when it has ended.

use crate::error::WatchError;
use crate::poll_backoff::{PollBackoff, SILENCE_TIMEOUT};
use crate::response::{BodyItem, Response};
use link::{Connection, Incoming, locked};
use settings::EndpointList;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time-out for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How soon a pause notices that the agent has another address.
const ADDRESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// The watch on the discovery agent.
pub struct Watch {
    agent: Mutex<Agent>,
}

/// The agent's address, and the connection to it.
struct Agent {
    address: SocketAddr,
    connection: Option<AgentConnection>,
}

/// An open connection, and the time by which the agent has to send something.
struct AgentConnection {
    connection: Arc<Connection>,
    deadline: Instant,
}

/// What a watch reports.
#[derive(Debug)]
pub enum WatchEvent {
    /// An endpoint list: complete, or what has changed.
    EndpointList(EndpointList),
    /// A request has failed, or the watch has ended: nothing is known of changes for now.
    Lost,
}

/// What a running watch keeps from one connection to the next.
struct Session<Listener> {
    /// The version of the last list.
    version: u64,
    /// Whether the log says that the watch ended, and not yet that it is back.
    is_lost: bool,
    listener: Listener,
}

impl<Listener: Fn(WatchEvent)> Session<Listener> {
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

    /// Watches at this address from now on, from the version of the last list. Returns whether the address is another than before.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let mut agent = locked(&self.agent);
        if std::mem::replace(&mut agent.address, address) == address {
            return false;
        }
        // The old agent may stay silent instead of closing, and its lists no longer count.
        if let Some(connection) = agent.connection.take() {
            connection.connection.close();
        }
        true
    }

    /// Closes the connection if it has been silent for too long. To be called several times a second.
    pub fn close_if_silent(&self) {
        if let Some(connection) = &locked(&self.agent).connection
            && Instant::now() > connection.deadline
        {
            connection.connection.close();
        }
    }

    /// Watches for ever, from the version after this one on. Parses JSON, and so runs in a coroutine with a large stack.
    pub fn run(&self, version: u64, mut backoff: PollBackoff, listener: impl Fn(WatchEvent)) {
        let mut session = Session { version, is_lost: false, listener };
        loop {
            let address = locked(&self.agent).address;
            let requested = Instant::now();
            let Err(error) = self.follow(address, &mut session, backoff.response_timeout());
            {
                let mut agent = locked(&self.agent);
                agent.connection.take();
                if agent.address != address {
                    // A new address is no loss, and the new agent is asked at once.
                    continue;
                }
            }
            session.on_lost(&error);
            self.pause(address, backoff.next_pause(requested.elapsed()));
        }
    }

    /// Waits, but only while the agent has this address.
    fn pause(&self, address: SocketAddr, pause: Duration) {
        let end = Instant::now() + pause;
        while let left = end.saturating_duration_since(Instant::now())
            && !left.is_zero()
            && locked(&self.agent).address == address
        {
            link::sleep(left.min(ADDRESS_CHECK_INTERVAL));
        }
    }

    /// Follows one response until it ends.
    fn follow(
        &self,
        address: SocketAddr,
        session: &mut Session<impl Fn(WatchEvent)>,
        response_timeout: Duration,
    ) -> Result<Infallible, WatchError> {
        let connection = self.connect(address, response_timeout)?;
        connection.send(request(address, session.version).as_bytes())?;
        let (mut received, mut response) = (Vec::new(), Response::new());
        loop {
            match connection.receive(&mut received, READ_BYTES)? {
                Incoming::Bytes(_) | Incoming::Woken => {}
                Incoming::End => return Err(WatchError::Closed),
            }
            let had_head = response.has_head();
            response.take(&mut received)?;
            if !had_head && response.has_head() {
                self.extend_deadline();
            }
            while let Some(item) = response.next_item()? {
                if let BodyItem::List(list) = item {
                    session.on_list(list);
                }
                self.extend_deadline();
            }
            if response.is_complete() {
                return Err(WatchError::ResponseEnded);
            }
        }
    }

    /// Connects to the agent, which has to send something within this time-out.
    fn connect(
        &self,
        address: SocketAddr,
        response_timeout: Duration,
    ) -> Result<Arc<Connection>, WatchError> {
        let connection = Arc::new(Connection::connect(address, CONNECT_TIMEOUT).map_err(io::Error::from)?);
        let mut agent = locked(&self.agent);
        if agent.address != address {
            return Err(WatchError::AddressChanged);
        }
        let deadline = Instant::now() + response_timeout;
        agent.connection = Some(AgentConnection { connection: connection.clone(), deadline });
        Ok(connection)
    }

    /// The agent has sent a line, and has [`SILENCE_TIMEOUT`] for the next one.
    fn extend_deadline(&self) {
        if let Some(connection) = &mut locked(&self.agent).connection {
            connection.deadline = Instant::now() + SILENCE_TIMEOUT;
        }
    }
}

/// The request for all lists after this version.
fn request(address: SocketAddr, version: u64) -> String {
    format!("GET /discovery/hosts?stream=1&index={version} HTTP/1.1\r\nHost: {address}\r\n\r\n")
}
