//! The stand-in itself.

use crate::listener::Listener;
use crate::server;
use crate::service::Service;
use crate::state::{SharedState, State};
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};

/// Index at the start.
const INITIAL_INDEX: u64 = 10;
/// Index after a restart without state.
const INDEX_AFTER_RESTART: u64 = 1;

/// A stand-in for Consul. Clones share its state.
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
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("an address");
        let listener = Listener::new(address, self.shared.clone());
        server::spawn(socket, listener.clone());
        listener
    }

    /// Changes the state and notifies blocking queries.
    pub fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        self.shared.update(change)
    }

    /// Restarts the stand-in without keys and sessions, and with index 1.
    pub fn restart_empty(&self) {
        self.update(|state| {
            state.store = Store::new(INDEX_AFTER_RESTART);
            state.incarnation += 1;
        });
    }

    /// Sets the instances of a service and the index of the services.
    pub fn set_service(&self, index: u64, name: &str, instances: Vec<Service>) {
        self.update(|state| {
            state.services.insert(name.to_owned(), instances);
            state.services_index = index;
        });
    }

    /// Returns a channel that receives the method and the target of each further request.
    pub fn log_requests(&self) -> Receiver<String> {
        let (sender, receiver) = channel();
        self.update(|state| state.request_log = Some(sender));
        receiver
    }

    /// Number of requests by method and kind (`PUT /v1/txn`).
    pub fn request_counts(&self) -> BTreeMap<String, u64> {
        self.shared.lock().request_counts.clone()
    }

    /// Ends all blocking queries. Each listener stops accepting with its next connection.
    pub fn stop(&self) {
        self.update(|state| state.is_stopped = true);
    }
}
