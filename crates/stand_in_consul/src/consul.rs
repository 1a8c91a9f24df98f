//! The stand-in, and the addresses at which it listens.

use crate::server;
use crate::service::{Registration, Service};
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The index at the start.
const FIRST_INDEX: u64 = 10;

/// How a listener fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Requests are taken and never answered; nothing is applied.
    Silent,
    /// Requests are applied, and their responses never sent.
    ResponseLost,
    /// Requests are applied and answered after this.
    Delay(Duration),
    /// This status at once; nothing is applied.
    Status(u16),
    /// Requests are applied, and their responses end in the middle.
    ResponseTruncated,
    /// Connections are closed at once.
    Closed,
}

/// What a stand-in holds.
#[derive(Debug, Default)]
pub struct State {
    /// The KV store, with sessions.
    pub store: Store,
    /// The instances of each service.
    pub services: BTreeMap<String, Vec<Service>>,
    /// The index of the services' last change.
    pub services_index: u64,
    /// By id what has been registered through the agent.
    pub registrations: BTreeMap<String, Registration>,
    /// The token that requests must bring (`X-Consul-Token`).
    pub token: Option<String>,
    /// What `X-Consul-LastContact` says, in milliseconds.
    pub last_contact_ms: u64,
    /// There is no leader: said on every response.
    pub leaderless: bool,
    /// Bodies are compressed where the client accepts that.
    pub compresses: bool,
    /// Changes when the stand-in is restarted: blocking queries end.
    pub(crate) incarnation: u64,
    /// Receives the method and target of each request.
    pub(crate) request_log: Option<Sender<String>>,
    /// Requests by method and the first parts of the path.
    pub(crate) request_counts: BTreeMap<String, u64>,
    pub(crate) is_stopped: bool,
}

/// The state, and what notifies blocking queries of its changes.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub(crate) fn notify_changed(&self) {
        self.changed.notify_all();
    }

    /// Waits while the condition holds, for as long as the time-out at most.
    pub(crate) fn wait_while(&self, timeout: Duration, condition: impl FnMut(&mut State) -> bool) {
        drop(self.changed.wait_timeout_while(self.state(), timeout, condition));
    }
}

/// The stand-in. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Consul {
    shared: Arc<Shared>,
}

impl Consul {
    /// One with an empty store, whose indexes begin at 10.
    pub fn start() -> Self {
        let consul = Self::default();
        consul.update(|state| {
            state.store = Store::new(FIRST_INDEX);
            state.services_index = FIRST_INDEX;
        });
        consul
    }

    /// Listens at a free port of loopback.
    ///
    /// # Panics
    ///
    /// There is none.
    pub fn open(&self) -> Listener {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("an address");
        let listener = Listener {
            address,
            fault: Arc::default(),
            translations: Arc::default(),
            shared: self.shared.clone(),
        };
        server::run(socket, listener.clone());
        listener
    }

    /// Changes what it holds and wakes the blocking queries.
    pub fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let done = change(&mut self.shared.state());
        self.shared.notify_changed();
        done
    }

    /// Restarts it without any keys and sessions; indexes begin anew.
    pub fn restart_empty(&self) {
        self.update(|state| {
            state.store = Store::new(1);
            state.incarnation += 1;
        });
    }

    /// Sets the instances of a service, at this index.
    pub fn set_service(&self, index: u64, name: &str, instances: Vec<Service>) {
        self.update(|state| {
            state.services.insert(name.to_owned(), instances);
            state.services_index = index;
        });
    }

    /// Receives the method and target of each request from now on.
    pub fn log_requests(&self) -> Receiver<String> {
        let (sender, receiver) = channel();
        self.update(|state| state.request_log = Some(sender));
        receiver
    }

    /// How many requests came, by method and kind (`PUT /v1/txn`).
    pub fn request_counts(&self) -> BTreeMap<String, u64> {
        self.shared.state().request_counts.clone()
    }

    /// Ends all blocking queries and the listeners' threads.
    pub fn stop(&self) {
        self.update(|state| state.is_stopped = true);
    }
}

/// The fault of a listener.
#[derive(Debug, Default)]
struct ListenerFault {
    fault: Fault,
    /// For so many requests that change something, and no others; none for all requests.
    writes_left: Option<u32>,
}

/// One address at which the stand-in listens, with a fault of its own. Clones share it.
#[derive(Clone, Debug)]
pub struct Listener {
    /// The address.
    pub address: SocketAddr,
    fault: Arc<Mutex<ListenerFault>>,
    /// By address of an instance how it is shown here.
    translations: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    pub(crate) shared: Arc<Shared>,
}

impl Listener {
    /// Fails like this from now on. Open blocking queries end.
    pub fn fail(&self, fault: Fault) {
        *lock(&self.fault) = ListenerFault { fault, writes_left: None };
        // Locked once, so that a query that is about to wait does not miss the notification.
        drop(self.shared.state());
        self.shared.notify_changed();
    }

    /// Fails like this for so many requests that change something, and is healthy again.
    pub fn fail_writes(&self, fault: Fault, times: u32) {
        *lock(&self.fault) = ListenerFault { fault, writes_left: Some(times) };
    }

    /// Shows this address of an instance as that one from now on, as agents do across translated networks.
    pub fn translate(&self, address: SocketAddr, shown: SocketAddr) {
        lock(&self.translations).insert(address, shown);
    }

    pub(crate) fn shown_address(&self, address: SocketAddr) -> SocketAddr {
        lock(&self.translations).get(&address).copied().unwrap_or(address)
    }

    /// The fault that a request meets. One that changes something uses up a fault of writes.
    pub(crate) fn fault_for(&self, is_write: bool) -> Fault {
        let mut state = lock(&self.fault);
        match &mut state.writes_left {
            None => state.fault,
            Some(left) if is_write && *left > 0 => {
                *left -= 1;
                state.fault
            }
            Some(_) => Fault::None,
        }
    }
}
