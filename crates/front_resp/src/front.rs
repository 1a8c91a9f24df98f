//! The front: accepting connections, draining them, and handing them over in a hot restart.

use crate::client::ClientConnection;
use crate::connection_table::ConnectionTable;
use crate::limits::{
    CAPACITY_CHECK_INTERVAL, COMPLETE_MEMORY_DIVISOR, INCOMPLETE_MEMORY_DIVISOR, UNREAD_MEMORY_DIVISOR,
};
use crate::memory::{MemoryBudget, Reservation};
use crate::open_requests::OpenRequests;
use crate::rules::RequestRules;
use exchange::{AnswerBody, Exchange, PendingConnections};
use link::{Connection, Listener, lock_or_abort, sleep, spawn};
use resp::RequestCommand;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

/// The exchange that the front uses. Its requests are RESP2 commands, and its answers are RESP2 values.
pub type RespExchange = Exchange<RequestCommand, AnswerBody>;

/// Hands a client's connection over to another process, with the bytes that have arrived of an incomplete command.
pub type HandOverConnection = dyn Fn(TcpStream, Vec<u8>) + Send + Sync;

/// The front with all its client connections.
pub struct Front {
    pub(crate) exchange: Arc<RespExchange>,
    pub(crate) rules: Mutex<Arc<RequestRules>>,
    pub(crate) memory: FrontMemory,
    pub(crate) connections: ConnectionTable,
    pub(crate) open_requests: Arc<OpenRequests>,
    is_ready: AtomicBool,
    /// When the graceful drain started.
    draining_since: OnceLock<Instant>,
    /// Callback that gets each connection as soon as it has no request in flight; `None` except during a hot restart.
    pub(crate) successor: Mutex<Option<Arc<HandOverConnection>>>,
    is_handing_over: AtomicBool,
}

/// Byte budgets that all clients share.
pub(crate) struct FrontMemory {
    /// Budget of the read buffers that hold incomplete commands.
    pub(crate) incomplete_command_budget: Arc<MemoryBudget>,
    /// Budget of the requests in flight, and of the answers that wait for earlier ones.
    pub(crate) complete_budget: Arc<MemoryBudget>,
    /// Budget of the answers that were sent but that clients have not read.
    pub(crate) unread_answer_budget: Arc<MemoryBudget>,
}

impl FrontMemory {
    fn new(process_bytes: usize) -> Self {
        Self {
            incomplete_command_budget: MemoryBudget::new(process_bytes / INCOMPLETE_MEMORY_DIVISOR),
            complete_budget: MemoryBudget::new(process_bytes / COMPLETE_MEMORY_DIVISOR),
            unread_answer_budget: MemoryBudget::new(process_bytes / UNREAD_MEMORY_DIVISOR),
        }
    }
}

impl Front {
    /// Creates a front in a process that may use `memory_bytes`. `max_connections` returns the current limit of open connections.
    pub fn new(
        exchange: Arc<RespExchange>,
        rules: RequestRules,
        memory_bytes: usize,
        max_connections: impl Fn() -> usize + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            exchange,
            rules: Mutex::new(Arc::new(rules)),
            memory: FrontMemory::new(memory_bytes),
            connections: ConnectionTable::new(max_connections),
            open_requests: Arc::default(),
            is_ready: AtomicBool::new(false),
            draining_since: OnceLock::new(),
            successor: Mutex::default(),
            is_handing_over: AtomicBool::new(false),
        })
    }

    /// Replaces the rules for requests that arrive from now on. Requests in flight are not checked again.
    pub fn set_rules(&self, rules: RequestRules) {
        *lock_or_abort(&self.rules) = Arc::new(rules);
    }

    /// Marks the front as ready: `PING` is answered with `+PONG` instead of an error.
    pub fn set_ready(&self) {
        self.is_ready.store(true, Ordering::Release);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Accepts connections until the listener is closed. Runs in a coroutine.
    pub fn accept_connections(self: &Arc<Self>, listener: &Listener) {
        while let Some(socket) = listener.accept() {
            // At the limit a new connection waits until others are evicted, and later ones wait in the backlog. A client whose
            // connection is closed would only reconnect.
            while self.connections.is_full() {
                self.connections.evict(1);
                sleep(CAPACITY_CHECK_INTERVAL);
            }
            self.spawn_connection(socket, Vec::new(), None);
        }
    }

    /// Takes over a connection that another process has served. Its client counts as one that has sent a request. `incomplete`
    /// holds the bytes that have arrived of an incomplete command, and is empty if there is none.
    pub fn adopt(self: &Arc<Self>, socket: Connection, incomplete: Vec<u8>) {
        // The command's timeout counts from the arrival of its last bytes, whichever process received them.
        let waited = socket.time_since_last_data().unwrap_or_default();
        let incomplete_since = Instant::now().checked_sub(waited).filter(|_| !incomplete.is_empty());
        let client = self.spawn_connection(socket, incomplete, incomplete_since);
        lock_or_abort(&client.state).record_request();
    }

    /// Serves a connection in a new coroutine. For an adopted connection, `incomplete_since` is the start of the timeout of its
    /// `incomplete` command.
    fn spawn_connection(
        self: &Arc<Self>,
        socket: Connection,
        incomplete: Vec<u8>,
        incomplete_since: Option<Instant>,
    ) -> Arc<ClientConnection> {
        let FrontMemory {
            incomplete_command_budget: incomplete_budget,
            unread_answer_budget: unread_budget,
            ..
        } = &self.memory;
        let client = ClientConnection::new(
            socket,
            Reservation::empty(incomplete_budget),
            Reservation::empty(unread_budget),
        );
        lock_or_abort(&client.state).incomplete_command.resume(incomplete_since);
        let number = self.connections.insert(client.clone());
        if self.is_draining() {
            // The wake ends the connection after it has been read once.
            client.socket.wake();
        }
        let (front, served) = (self.clone(), client.clone());
        spawn(move || {
            front.serve(&served, incomplete);
            front.connections.remove(number);
        });
        client
    }

    /// Stops admitting requests, and hands each connection over to the successor once it has no request in flight. If this is
    /// called on the worker, no command is partially dispatched when it returns.
    pub fn hand_over_connections(&self, successor: Arc<HandOverConnection>) {
        *lock_or_abort(&self.successor) = Some(successor);
        self.is_handing_over.store(true, Ordering::Release);
        self.connections.wake_all();
    }

    /// Reverts [`Front::hand_over_connections`] after the successor has failed: serves the connections that were not handed over.
    pub fn resume(&self) {
        self.is_handing_over.store(false, Ordering::Release);
        *lock_or_abort(&self.successor) = None;
        self.connections.wake_all();
    }

    /// Whether connections are being handed over to a successor. During the hand-over no requests are admitted.
    pub fn is_handing_over(&self) -> bool {
        self.is_handing_over.load(Ordering::Acquire)
    }

    /// Starts a graceful drain: closes every connection as soon as it has no request in flight.
    pub fn drain(&self) {
        // Only the first call sets the time.
        let _ = self.draining_since.set(Instant::now());
        self.connections.wake_all();
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }

    /// Returns the number of client connections that are open in this process.
    pub fn open_connections(&self) -> usize {
        self.connections.clients().len()
    }

    /// Counts the open connections whose clients still wait for something. Each of them is bounded in time: by the timeout of
    /// commands, the deadline of its request, or the stall timeout of a streamed answer.
    pub fn pending_connections(&self) -> PendingConnections {
        let draining_for = self.draining_since.get().map(Instant::elapsed).unwrap_or_default();
        self.connections.clients().iter().filter_map(|client| client.pending_work(draining_for)).collect()
    }
}
