//! The client: opens connections on demand, and moves to another address of the counter.

use crate::call_result::{CallResult, OnCallEnded};
use crate::connection::{CounterConnection, WriteResult};
use crate::shard::{self, EnqueueResult, SHARD_COUNT, Shard};
use exchange::{CounterCall, Exchange, QuotaCounter};
use link::{Connection, lock_or_abort, spawn};
use policy::Outcome;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection that was opened for a shard.
struct OpenedConnection {
    connection: Arc<CounterConnection>,
    /// Calls that waited for the connection and could not be written to it.
    unwritten_calls: Vec<CounterCall>,
}

/// Client of one quota counter. The client connects on demand, and again after a connection has ended.
pub struct CounterClient {
    /// Reference to itself for the coroutines that run connections.
    weak_self: Weak<Self>,
    address: Mutex<SocketAddr>,
    on_ended: OnCallEnded,
    shards: [Mutex<Shard>; SHARD_COUNT],
    /// Connections to earlier addresses that still have unanswered calls.
    retired_connections: Mutex<Vec<Weak<CounterConnection>>>,
}

impl CounterClient {
    /// Creates a client that reports the result of each call to `on_ended`. The client connects on its first call.
    pub fn new(address: SocketAddr, on_ended: OnCallEnded) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            address: Mutex::new(address),
            on_ended,
            shards: Default::default(),
            retired_connections: Mutex::default(),
        })
    }

    /// Creates a client that reports the results of its calls to this exchange.
    pub fn for_exchange<Q: Send + Sync + 'static, A: Send + 'static>(
        address: SocketAddr,
        exchange: Arc<Exchange<Q, A>>,
    ) -> Arc<Self> {
        let on_ended = move |CallResult { id, outcome, total }: CallResult| {
            exchange.counter_call_ended(id, outcome, total);
        };
        Self::new(address, Box::new(on_ended))
    }

    /// Sends all further calls to this address. Unanswered calls keep their connections. Returns whether the address has changed.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        if std::mem::replace(&mut *lock_or_abort(&self.address), address) == address {
            return false;
        }
        for shard in &self.shards {
            // The shard loses its connection before that connection is retired: a call that the retired one refuses tries the
            // shard again, which must no longer have it.
            let Some(connection) = lock_or_abort(shard).take_connection() else { continue };
            connection.retire();
            lock_or_abort(&self.retired_connections).push(Arc::downgrade(&connection));
            connection.wake();
        }
        true
    }

    /// Closes connections that have unanswered calls and have been silent for too long. The caller runs this several times a
    /// second.
    pub fn close_silent_connections(&self) {
        let mut connections: Vec<_> = {
            let mut retired_connections = lock_or_abort(&self.retired_connections);
            retired_connections.retain(|connection| connection.strong_count() > 0);
            retired_connections.iter().filter_map(Weak::upgrade).collect()
        };
        connections.extend(self.shards.iter().filter_map(|shard| lock_or_abort(shard).connection()));
        connections.iter().for_each(|connection| connection.close_if_silent());
    }

    /// Opens the connection of a shard with the waiting calls, and reads answers until it ends.
    fn run_connection(&self, shard: &Mutex<Shard>) {
        let Some(OpenedConnection { connection, unwritten_calls }) = self.connect(shard) else { return };
        unwritten_calls.iter().for_each(|call| self.fail_unwritten(call));
        // Whatever ends the reading, the connection is closed next, so the error is not needed.
        let _ = connection.read_answers(&self.on_ended);
        connection.close();
        lock_or_abort(shard).remove_connection(&connection);
        // The counter may have received any of the written calls, and may have added the units of each.
        for id in connection.take_pending() {
            (self.on_ended)(CallResult::without_total(id, Outcome::Reset));
        }
    }

    /// Connects a shard and writes the calls that waited for it. If the counter is unreachable, these calls fail, and the
    /// result is `None`.
    fn connect(&self, shard: &Mutex<Shard>) -> Option<OpenedConnection> {
        loop {
            let address = *lock_or_abort(&self.address);
            let connection = Connection::connect(address, CONNECT_TIMEOUT);
            let mut shard = lock_or_abort(shard);
            // The address is compared under the lock of the shard: `set_address` changes the address before it checks the shards.
            if address != *lock_or_abort(&self.address) {
                continue;
            }
            let waiting = shard.take_waiting();
            let Ok(connection) = connection else {
                drop(shard);
                waiting.iter().for_each(|call| self.fail_unwritten(call));
                return None;
            };
            let connection = Arc::new(CounterConnection::new(connection));
            // The waiting calls are written before the shard has the connection, so that no later call overtakes them. A write
            // never blocks.
            let is_unwritten = |call: &CounterCall| !matches!(connection.write(call), WriteResult::Written);
            let unwritten_calls = waiting.into_iter().filter(is_unwritten).collect();
            shard.set_connection(connection.clone());
            return Some(OpenedConnection { connection, unwritten_calls });
        }
    }

    /// Reports that a call was not written, so that the counter added no units for the call.
    fn fail_unwritten(&self, call: &CounterCall) {
        (self.on_ended)(CallResult::without_total(call.id, Outcome::ConnectFailed));
    }
}

impl QuotaCounter for CounterClient {
    fn call(&self, call: CounterCall) {
        let shard = &self.shards[shard::index_of(call.name)];
        loop {
            let mut state = lock_or_abort(shard);
            if let Some(connection) = state.open_connection() {
                drop(state);
                match connection.write(&call) {
                    WriteResult::Written => return,
                    WriteResult::Failed => return self.fail_unwritten(&call),
                    WriteResult::Retired => continue,
                }
            }
            let queued = state.enqueue(call);
            drop(state);
            match queued {
                EnqueueResult::Waiting => {}
                EnqueueResult::Full => self.fail_unwritten(&call),
                EnqueueResult::MustConnect => {
                    if let Some(client) = self.weak_self.upgrade() {
                        spawn(move || client.run_connection(&client.shards[shard::index_of(call.name)]));
                    }
                }
            }
            return;
        }
    }
}
