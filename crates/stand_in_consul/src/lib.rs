//! A stand-in of Consul's HTTP API, written from its public documentation, that can be told to fail.
//!
//! It holds what snowfield uses: the KV store with check-and-set, locks by session and `recurse`, sessions with TTL and
//! lock delay, transactions of `cas`, `check-session` and the like, blocking queries with `X-Consul-Index`, and the
//! health and catalogue pages of services. One [`Consul`] may listen at several [`Door`]s, each with faults of its own:
//! that is how a store is reached from one side of a split only.
//!
//! It is for tests, proofs and the emulator: threads, no bounds against hostile callers, and it listens on loopback only.

mod kv;
mod serve;

pub use kv::{Entry, Store};

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

/// How a door fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Requests are taken and never answered; nothing is applied.
    Silence,
    /// Requests are applied, and their answers never sent.
    Lost,
    /// Requests are applied and answered after this.
    Delay(Duration),
    /// This status at once; nothing is applied.
    Status(u16),
    /// Requests are applied, and their answers end in the middle.
    Cut,
    /// Connections are closed at once.
    Closed,
}

/// What a check says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// All is well.
    #[default]
    Passing,
    /// Not quite.
    Warning,
    /// It fails.
    Critical,
}

impl Status {
    fn name(self) -> &'static str {
        match self {
            Self::Passing => "passing",
            Self::Warning => "warning",
            Self::Critical => "critical",
        }
    }
}

/// An instance of a service, as the health and catalogue pages show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What its check says.
    pub status: Status,
    /// It is in maintenance.
    pub maintenance: bool,
    /// Its node's own check passes.
    pub node_well: bool,
    /// Its weights, passing and warning.
    pub weights: (u32, u32),
    /// Its tags.
    pub tags: Vec<String>,
    /// Its metadata.
    pub meta: BTreeMap<String, String>,
}

impl Service {
    /// A plain one whose check passes.
    pub fn new(id: &str, address: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            address,
            status: Status::Passing,
            maintenance: false,
            node_well: true,
            weights: (1, 1),
            tags: Vec::new(),
            meta: BTreeMap::new(),
        }
    }

    /// The same with another check.
    pub fn with(self, status: Status) -> Self {
        Self { status, ..self }
    }

    fn passes(&self) -> bool {
        self.status == Status::Passing && !self.maintenance && self.node_well
    }
}

/// A registration that came through the agent's pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registered {
    /// The service's name.
    pub name: String,
    /// Its port.
    pub port: u16,
    /// How often its TTL check was passed.
    pub passed: u64,
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
    pub registered: BTreeMap<String, Registered>,
    /// The token that requests must bring (`X-Consul-Token`).
    pub token: Option<String>,
    /// What `X-Consul-LastContact` says, in milliseconds, and whether there is a leader.
    pub last_contact: u64,
    /// There is no leader: said on every answer.
    pub leaderless: bool,
    /// Bodies are compressed where the caller takes that.
    pub gzip: bool,
    /// Grows when the stand-in is started anew: blocking queries end.
    life: u64,
    /// Told of each request's method and target.
    asked: Option<Sender<String>>,
    /// Requests by method and first parts of the path.
    counts: BTreeMap<String, u64>,
    stopped: bool,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// The stand-in.
#[derive(Clone, Debug, Default)]
pub struct Consul {
    shared: Shared,
}

/// One address at which it listens.
#[derive(Clone, Debug)]
pub struct Door {
    /// The address.
    pub address: SocketAddr,
    fault: Arc<Mutex<(Fault, Option<u32>)>>,
    /// By address of an instance how it is shown here.
    translated: Arc<Mutex<BTreeMap<SocketAddr, SocketAddr>>>,
    shared: Shared,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Consul {
    /// One with an empty store, whose indexes begin at 10.
    pub fn start() -> Self {
        let consul = Self::default();
        consul.change(|state| {
            state.store = Store::new(10);
            state.services_index = 10;
        });
        consul
    }

    /// Listens at a free port of loopback.
    ///
    /// # Panics
    ///
    /// There is none.
    pub fn open(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (fault, translated) = Default::default();
        let door = Door { address, fault, translated, shared: self.shared.clone() };
        serve::run(listener, door.clone());
        door
    }

    /// Changes what it holds and wakes the blocking queries.
    pub fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let done = change(&mut locked(&self.shared.0));
        self.shared.1.notify_all();
        done
    }

    /// Starts it anew with nothing: no keys, no sessions, indexes from the beginning.
    pub fn restart_empty(&self) {
        self.change(|state| {
            state.store = Store::new(1);
            state.life += 1;
        });
    }

    /// Sets the instances of a service, at this index.
    pub fn set_service(&self, index: u64, name: &str, instances: Vec<Service>) {
        self.change(|state| {
            state.services.insert(name.to_owned(), instances);
            state.services_index = index;
        });
    }

    /// Tells the method and target of each request from now on.
    pub fn listen(&self) -> Receiver<String> {
        let (tell, told) = channel();
        self.change(|state| state.asked = Some(tell));
        told
    }

    /// How many requests came, by method and kind (`PUT /v1/txn`).
    pub fn counts(&self) -> BTreeMap<String, u64> {
        locked(&self.shared.0).counts.clone()
    }

    /// Ends all blocking queries and the doors' threads.
    pub fn stop(&self) {
        self.change(|state| state.stopped = true);
    }
}

impl Door {
    /// Fails like this from now on. Blocking queries that are open end.
    pub fn fail(&self, fault: Fault) {
        *locked(&self.fault) = (fault, None);
        // Taken, so that a query that is about to wait does not miss the call.
        drop(locked(&self.shared.0));
        self.shared.1.notify_all();
    }

    /// Fails like this for so many requests that change something, and works again.
    pub fn fail_writes(&self, fault: Fault, times: u32) {
        *locked(&self.fault) = (fault, Some(times));
    }

    /// Shows this address of an instance as that one from now on, as agents do across translated networks.
    pub fn translate(&self, address: SocketAddr, shown: SocketAddr) {
        locked(&self.translated).insert(address, shown);
    }

    fn shown(&self, address: SocketAddr) -> SocketAddr {
        locked(&self.translated).get(&address).copied().unwrap_or(address)
    }

    fn fault(&self, writes: bool) -> Fault {
        let mut fault = locked(&self.fault);
        match &mut *fault {
            (fault, None) => *fault,
            (_, Some(_)) if !writes => Fault::None,
            (fault, Some(left)) if *left > 0 => {
                *left -= 1;
                *fault
            }
            _ => Fault::None,
        }
    }
}
