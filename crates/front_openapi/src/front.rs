//! The front: accepting client connections, draining them, and closing idle and stalled ones.

use crate::client_connection::{ClientConnection, Phase};
use crate::{FrontConfig, RouteCounts};
use exchange::{Exchange, PendingConnections};
use http::{Request, Response};
use link::{Listener, lock_or_abort, sleep, spawn};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// A client connection that has been idle for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// At the limit of connections, a connection that has been idle for at least this long may be evicted to make room for a new
/// one.
pub(crate) const MIN_IDLE_FOR_EVICTION: Duration = Duration::from_secs(2);
/// Interval between two evictions at the limit of connections.
const EVICTION_INTERVAL: Duration = Duration::from_millis(2);

/// The exchange that the front uses. Its requests and answers are HTTP messages.
pub type HttpExchange = Exchange<Request, Response>;

/// The front with all its client connections.
pub struct Front {
    pub(crate) exchange: Arc<HttpExchange>,
    pub(crate) config: FrontConfig,
    is_draining: AtomicBool,
    connections: Mutex<Vec<Weak<ClientConnection>>>,
    /// Counts of the final answers of each route, indexed by the route's number.
    pub(crate) counts: Mutex<Vec<RouteCounts>>,
}

impl Front {
    /// Creates a front that submits its requests to `exchange`.
    pub fn new(exchange: Arc<HttpExchange>, config: FrontConfig) -> Arc<Self> {
        let counts = Mutex::new(vec![RouteCounts::default(); config.routes.routes().len()]);
        let is_draining = AtomicBool::new(false);
        Arc::new(Self { exchange, config, is_draining, connections: Mutex::default(), counts })
    }

    /// Accepts client connections until the listener is closed. Runs in a coroutine.
    pub fn accept_connections(self: &Arc<Self>, listener: &Listener) {
        while let Some(connection) = listener.accept() {
            // At the limit a new connection waits until another one is evicted. A client whose connection is closed would only
            // reconnect.
            while self.is_full() {
                self.evict_longest_idle();
                sleep(EVICTION_INTERVAL);
            }
            let client = Arc::new(ClientConnection::new(connection));
            lock_or_abort(&self.connections).push(Arc::downgrade(&client));
            let front = self.clone();
            spawn(move || {
                front.serve(&client);
                client.connection.close();
            });
        }
    }

    /// Starts a graceful drain: closes every client connection as soon as it is between requests.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.open_clients().iter().for_each(|client| client.connection.wake());
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Returns the number of open client connections.
    pub fn open_connections(&self) -> usize {
        self.open_clients().len()
    }

    /// Counts the open connections whose clients still wait for something. Each of them is bounded in time: by the client timeout,
    /// or by the deadline of its request.
    pub fn pending_connections(&self) -> PendingConnections {
        self.open_clients().iter().filter_map(|client| client.pending_work()).collect()
    }

    /// Closes connections that have exceeded the idle timeout or the client timeout. The caller runs it a few times a second.
    pub fn close_overdue(&self) {
        let client_timeout = self.config.client_timeout;
        for client in self.open_clients() {
            let current = client.phase();
            match current.phase {
                Phase::Idle if current.exceeds(IDLE_TIMEOUT) => client.request_close_if_idle(),
                // The connection's coroutine wakes, checks the timeout and answers 408.
                Phase::Reading if current.exceeds(client_timeout) => client.connection.wake(),
                Phase::Finishing if current.exceeds(client_timeout) => client.connection.close(),
                _ => {}
            }
        }
    }

    fn is_full(&self) -> bool {
        let mut connections = lock_or_abort(&self.connections);
        connections.retain(|client| client.strong_count() > 0);
        connections.len() >= self.config.max_connections
    }

    /// Evicts the connection that has been idle for the longest time, if this time is at least [`MIN_IDLE_FOR_EVICTION`].
    fn evict_longest_idle(&self) {
        let clients = self.open_clients();
        let evictable =
            clients.iter().filter_map(|client| Some((client.idle_since(MIN_IDLE_FOR_EVICTION)?, client)));
        if let Some((_, client)) = evictable.min_by_key(|(since, _)| *since) {
            client.request_close_if_idle();
        }
    }

    /// Returns the connections that are not closed.
    fn open_clients(&self) -> Vec<Arc<ClientConnection>> {
        let connections = lock_or_abort(&self.connections);
        let clients = connections.iter().filter_map(Weak::upgrade);
        clients.filter(|client| !client.connection.is_closed()).collect()
    }
}
