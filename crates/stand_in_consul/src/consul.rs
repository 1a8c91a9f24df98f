//! The stand-in itself, which holds the state and opens the listeners.

use crate::listener::Listener;
use crate::server;
use crate::service::Service;
use crate::state::{SharedState, State};
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};

/// Index of the store and of the services when the stand-in starts.
const INITIAL_INDEX: u64 = 10;
/// Index of the store after a restart without data. It is lower than before, as when a Consul cluster loses its data.
const INDEX_AFTER_RESTART: u64 = 1;

/// A stand-in for Consul. Clones share its state. It serves no requests until [`Self::open`] adds a listener.
#[derive(Clone, Debug, Default)]
pub struct Consul {
    shared: Arc<SharedState>,
}

impl Consul {
    /// Starts a stand-in with an empty store and index 10.
    pub fn start() -> Self {
        let consul = Self::default();
        consul.update(|state| {
            state.store = Store::new(INITIAL_INDEX);
            state.services_index = INITIAL_INDEX;
        });
        consul
    }

    /// Opens a listener on a free port of the loopback interface.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn open(&self) -> Listener {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
        let address = socket.local_addr().expect("the address of a bound socket");
        let listener = Listener::new(address, self.shared.clone());
        server::spawn(socket, listener.clone());
        listener
    }

    /// Changes the state and wakes the blocking queries, which check whether their index has changed.
    pub fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        self.shared.update(change)
    }

    /// Simulates a restart that loses all keys and sessions: the index of the store starts from 1 again, and blocking queries
    /// end. Services and registrations are kept.
    pub fn restart_empty(&self) {
        self.update(|state| {
            state.store = Store::new(INDEX_AFTER_RESTART);
            state.incarnation += 1;
        });
    }

    /// Replaces the instances of a service, and sets the index that queries of any service return.
    pub fn set_service(&self, index: u64, name: &str, instances: Vec<Service>) {
        self.update(|state| {
            state.services.insert(name.to_owned(), instances);
            state.services_index = index;
        });
    }

    /// Returns a channel that receives each further request as text, such as `GET /v1/kv/a?recurse`. Replaces an earlier channel.
    pub fn log_requests(&self) -> Receiver<String> {
        let (sender, receiver) = channel();
        self.update(|state| state.request_log = Some(sender));
        receiver
    }

    /// Returns the number of requests so far, by method and the first two segments of the path (`PUT /v1/txn`).
    pub fn request_counts(&self) -> BTreeMap<String, u64> {
        self.shared.lock().request_counts.clone()
    }

    /// Ends all blocking queries and stops the listeners. A listener closes its socket when the next connection arrives, and does
    /// not serve that connection.
    pub fn stop(&self) {
        self.update(|state| state.is_stopped = true);
    }
}
