//! The open client connections and their limit.

use crate::client::ClientConnection;
use link::lock_or_abort;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// The reserve for new connections is the connection limit divided by this number.
const RESERVE_DIVISOR: usize = 4;

/// Number of a connection, counted from 1 in the order in which this front opened them.
pub(crate) type ConnectionNumber = u64;

/// The open client connections, oldest first.
pub(crate) struct ConnectionTable {
    max_connections: Box<dyn Fn() -> usize + Send + Sync>,
    open: Mutex<OpenConnections>,
}

#[derive(Default)]
struct OpenConnections {
    last_number: ConnectionNumber,
    by_number: BTreeMap<ConnectionNumber, Arc<ClientConnection>>,
}

impl ConnectionTable {
    /// Creates an empty table. `max_connections` returns the current limit.
    pub(crate) fn new(max_connections: impl Fn() -> usize + Send + Sync + 'static) -> Self {
        Self { max_connections: Box::new(max_connections), open: Mutex::default() }
    }

    /// Adds a connection, and returns its number.
    pub(crate) fn insert(&self, client: Arc<ClientConnection>) -> ConnectionNumber {
        let mut open = lock_or_abort(&self.open);
        open.last_number += 1;
        let number = open.last_number;
        open.by_number.insert(number, client);
        number
    }

    /// Removes a connection whose coroutine has ended.
    pub(crate) fn remove(&self, number: ConnectionNumber) {
        lock_or_abort(&self.open).by_number.remove(&number);
    }

    /// Whether the limit is reached. Closed connections count until their coroutine has ended.
    pub(crate) fn is_full(&self) -> bool {
        lock_or_abort(&self.open).by_number.len() >= (self.max_connections)()
    }

    /// Returns the current limit of open connections.
    pub(crate) fn max_connections(&self) -> usize {
        (self.max_connections)()
    }

    /// Returns how many of `open` connections must be evicted to restore the reserve for new connections.
    pub(crate) fn connections_to_evict(&self, open: usize) -> usize {
        let max_connections = (self.max_connections)();
        let target = max_connections - max_connections / RESERVE_DIVISOR;
        open.saturating_sub(target)
    }

    /// Returns the connections that are not closed, oldest first.
    pub(crate) fn clients(&self) -> Vec<Arc<ClientConnection>> {
        let open = lock_or_abort(&self.open);
        open.by_number.values().filter(|client| !client.socket.is_closed()).cloned().collect()
    }

    /// Wakes the reader of each connection, which then checks the connection's state.
    pub(crate) fn wake_all(&self) {
        for client in self.clients() {
            client.socket.wake();
        }
    }
}
