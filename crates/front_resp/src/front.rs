//! The front: accepting connections, closing them, and handing them over in a hot restart.

use crate::client::ClientConnection;
use crate::limits::{COMPLETE_PART, INCOMPLETE_PART, ROOM_CHECK, UNREAD_PART};
use crate::memory::{MemoryBudget, Reservation};
use crate::rules::RequestRules;
use exchange::{AnswerBody, Exchange};
use link::{Connection, Listener, locked, sleep, spawn};
use resp::Query;
use std::collections::{BTreeMap, HashSet};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What this front forwards and gets back.
pub type RespExchange = Exchange<Query, AnswerBody>;

/// Hands a client's connection over to another process, with what was read of an incomplete request.
pub type HandOverConnection = dyn Fn(TcpStream, Vec<u8>) + Send + Sync;

/// The front with all its connections.
pub struct Front {
    pub(crate) exchange: Arc<RespExchange>,
    pub(crate) rules: Mutex<Arc<RequestRules>>,
    pub(crate) max_connections: Box<dyn Fn() -> usize + Send + Sync>,
    pub(crate) memory: FrontMemory,
    pub(crate) is_ready: AtomicBool,
    pub(crate) is_closing: AtomicBool,
    /// Where connections go once they are between requests, while nothing is admitted here.
    pub(crate) successor: Mutex<Option<Arc<HandOverConnection>>>,
    pub(crate) is_handing_over: AtomicBool,
    connections: Mutex<ConnectionTable>,
    /// Ids of the requests that are open here.
    pub(crate) open_ids: Mutex<HashSet<Vec<u8>>>,
}

/// Bytes that are held for all clients together.
pub(crate) struct FrontMemory {
    /// Of incomplete requests.
    pub(crate) incomplete: Arc<MemoryBudget>,
    /// Of complete ones, with the answers that wait for their turn.
    pub(crate) complete: Arc<MemoryBudget>,
    /// Of answers that clients have not read.
    pub(crate) unread: Arc<MemoryBudget>,
}

/// Open connections in the order in which they came.
#[derive(Default)]
struct ConnectionTable {
    last_number: u64,
    open: BTreeMap<u64, Arc<ClientConnection>>,
}

impl Front {
    /// A front that holds at most as many connections as `max_connections` allows at the time, in a process that may use
    /// `memory_bytes`.
    pub fn new(
        exchange: Arc<RespExchange>,
        rules: RequestRules,
        memory_bytes: usize,
        max_connections: impl Fn() -> usize + Send + Sync + 'static,
    ) -> Arc<Self> {
        let memory = FrontMemory {
            incomplete: MemoryBudget::new(memory_bytes / INCOMPLETE_PART),
            complete: MemoryBudget::new(memory_bytes / COMPLETE_PART),
            unread: MemoryBudget::new(memory_bytes / UNREAD_PART),
        };
        Arc::new(Self {
            exchange,
            rules: Mutex::new(Arc::new(rules)),
            max_connections: Box::new(max_connections),
            memory,
            is_ready: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            successor: Mutex::default(),
            is_handing_over: AtomicBool::new(false),
            connections: Mutex::default(),
            open_ids: Mutex::default(),
        })
    }

    /// Validates requests by other rules from now on.
    pub fn set_rules(&self, rules: RequestRules) {
        *locked(&self.rules) = Arc::new(rules);
    }

    /// From now on `PING` is answered.
    pub fn set_ready(&self) {
        self.is_ready.store(true, Ordering::Release);
    }

    /// Accepts connections until the listener is closed; runs in a coroutine.
    pub fn run(self: &Arc<Self>, listener: &Listener) {
        while let Some(socket) = listener.accept() {
            // A full table keeps new connections waiting, and those behind them at the listener, until others have made room:
            // closed, they would only come again.
            while locked(&self.connections).open.len() >= (self.max_connections)() {
                self.make_room(1);
                sleep(ROOM_CHECK);
            }
            self.open(socket, Vec::new(), None);
        }
    }

    /// Continues with a connection that another process has served: it has sent requests, and maybe begun one.
    pub fn adopt(self: &Arc<Self>, socket: Connection, incomplete: Vec<u8>) {
        // How long ago its last bytes came: an incomplete request is owed its error by then, whichever process it began at.
        let waited = socket.time_since_last_data().unwrap_or_default();
        let began = Instant::now().checked_sub(waited).filter(|_| !incomplete.is_empty());
        let client = self.open(socket, incomplete, began);
        let mut queue = locked(&client.queue);
        queue.had_valid_command = true;
        queue.had_request = true;
    }

    /// `incomplete_since`: since when what was read of a request by another process is incomplete.
    fn open(
        self: &Arc<Self>,
        socket: Connection,
        incomplete: Vec<u8>,
        incomplete_since: Option<Instant>,
    ) -> Arc<ClientConnection> {
        let (half, unread) = (&self.memory.incomplete, &self.memory.unread);
        let client = ClientConnection::new(socket, Reservation::empty(half), Reservation::empty(unread));
        locked(&client.queue).incomplete_since = incomplete_since;
        let number = {
            let mut connections = locked(&self.connections);
            connections.last_number += 1;
            let number = connections.last_number;
            connections.open.insert(number, client.clone());
            number
        };
        if self.is_closing() {
            // It is read once, and then ends.
            client.socket.wake();
        }
        let (front, served) = (self.clone(), client.clone());
        spawn(move || {
            front.serve(&served, incomplete);
            locked(&front.connections).open.remove(&number);
        });
        client
    }

    /// Admits nothing from now on, and hands each connection over once it is between requests. Called on the worker, no request is
    /// half taken when it returns.
    pub fn hand_over_connections(&self, successor: Arc<HandOverConnection>) {
        *locked(&self.successor) = Some(successor);
        self.is_handing_over.store(true, Ordering::Release);
        self.wake_all();
    }

    /// Reads on where [`Front::hand_over_connections`] has stopped: there is no successor any more.
    pub fn resume(&self) {
        self.is_handing_over.store(false, Ordering::Release);
        *locked(&self.successor) = None;
        self.wake_all();
    }

    /// Whether nothing is admitted, as a successor serves.
    pub fn is_handing_over(&self) -> bool {
        self.is_handing_over.load(Ordering::Acquire)
    }

    /// Whether connections are closed as soon as they are between requests.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    fn wake_all(&self) {
        for client in self.clients() {
            client.socket.wake();
        }
    }

    /// Closes every connection as soon as it is between requests.
    pub fn close(&self) {
        self.is_closing.store(true, Ordering::Release);
        self.wake_all();
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.clients().len()
    }

    pub(crate) fn clients(&self) -> Vec<Arc<ClientConnection>> {
        let connections = locked(&self.connections);
        connections.open.values().filter(|client| !client.socket.is_closed()).cloned().collect()
    }
}
