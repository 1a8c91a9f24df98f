//! The front with all its client connections.

use crate::client_connection::{ClientConnection, Phase};
use crate::{FrontConfig, RouteCounts};
use exchange::Exchange;
use http::{Request, Response};
use link::{Listener, locked, sleep, spawn};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// A client connection that has been idle for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// At the limit of connections, one that has been idle for this long is closed for a new one.
pub(crate) const EVICTABLE_AFTER: Duration = Duration::from_secs(2);
/// Between two attempts to make room at the limit of connections.
const EVICTION_INTERVAL: Duration = Duration::from_millis(2);

/// The exchange of this front: HTTP requests in, HTTP responses out.
pub type HttpExchange = Exchange<Request, Response>;

/// The front with all its client connections.
pub struct Front {
    pub(crate) exchange: Arc<HttpExchange>,
    pub(crate) config: FrontConfig,
    is_draining: AtomicBool,
    connections: Mutex<Vec<Weak<ClientConnection>>>,
    /// By the number of the route.
    pub(crate) counts: Mutex<Vec<RouteCounts>>,
}

impl Front {
    /// A front on this exchange.
    pub fn new(exchange: Arc<HttpExchange>, config: FrontConfig) -> Arc<Self> {
        let counts = Mutex::new(vec![RouteCounts::default(); config.routes.routes().len()]);
        let is_draining = AtomicBool::new(false);
        Arc::new(Self { exchange, config, is_draining, connections: Mutex::default(), counts })
    }

    /// Accepts client connections until the listener is closed; runs in a coroutine.
    pub fn accept_connections(self: &Arc<Self>, listener: &Listener) {
        while let Some(connection) = listener.accept() {
            // At the limit a new connection waits until idle ones are closed: closed itself, it would only come again.
            while self.is_full() {
                self.evict_longest_idle();
                sleep(EVICTION_INTERVAL);
            }
            let client = Arc::new(ClientConnection::new(connection));
            locked(&self.connections).push(Arc::downgrade(&client));
            let front = self.clone();
            spawn(move || {
                front.serve(&client);
                client.connection.close();
            });
        }
    }

    /// Closes every client connection as soon as it is between requests.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.open().iter().for_each(|client| client.connection.wake());
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// How many client connections are open.
    pub fn open_connections(&self) -> usize {
        self.open().len()
    }

    /// Closes connections that are idle or stalled for too long; call it now and then.
    pub fn close_overdue(&self) {
        let client_timeout = self.config.client_timeout;
        for client in self.open() {
            let (phase, since) = client.phase();
            match phase {
                Phase::Idle if since.elapsed() > IDLE_TIMEOUT => client.request_close_if_idle(),
                // Woken, it checks the time by itself.
                Phase::Reading if since.elapsed() > client_timeout => client.connection.wake(),
                Phase::Finishing if since.elapsed() > client_timeout => client.connection.close(),
                _ => {}
            }
        }
    }

    fn is_full(&self) -> bool {
        let mut connections = locked(&self.connections);
        connections.retain(|client| client.strong_count() > 0);
        connections.len() >= self.config.max_connections
    }

    /// Closes the connection that has been idle for longest, if it has been for long enough.
    fn evict_longest_idle(&self) {
        let clients = self.open();
        let evictable =
            clients.iter().filter_map(|client| Some((client.idle_since(EVICTABLE_AFTER)?, client)));
        if let Some((_, client)) = evictable.min_by_key(|(since, _)| *since) {
            client.request_close_if_idle();
        }
    }

    fn open(&self) -> Vec<Arc<ClientConnection>> {
        let connections = locked(&self.connections);
        let clients = connections.iter().filter_map(Weak::upgrade);
        clients.filter(|client| !client.connection.is_closed()).collect()
    }
}
