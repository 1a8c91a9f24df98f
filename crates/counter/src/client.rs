//! The client: it opens connections as calls need them, and follows the counter to another address.

use crate::connection::{CallEnded, CounterConnection, WriteResult};
use crate::lane::{self, LANES, Lane, Queued};
use exchange::{CounterCall, Exchange, QuotaCounter};
use link::{Connection, locked, spawn};
use policy::Outcome;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// Time-out for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The client of one counter.
pub struct CounterClient {
    /// For the coroutines that run connections.
    this: Weak<Self>,
    address: Mutex<SocketAddr>,
    on_ended: CallEnded,
    lanes: [Mutex<Lane>; LANES],
    /// Connections to earlier addresses that still have unanswered calls.
    retired: Mutex<Vec<Weak<CounterConnection>>>,
}

impl CounterClient {
    /// Creates a client. It connects with its first call.
    pub fn new(address: SocketAddr, on_ended: CallEnded) -> Arc<Self> {
        Arc::new_cyclic(|this| Self {
            this: this.clone(),
            address: Mutex::new(address),
            on_ended,
            lanes: Default::default(),
            retired: Mutex::default(),
        })
    }

    /// Creates a client whose calls belong to this exchange.
    pub fn for_exchange<Q: Send + Sync + 'static, A: Send + 'static>(
        address: SocketAddr,
        exchange: Arc<Exchange<Q, A>>,
    ) -> Arc<Self> {
        Self::new(
            address,
            Box::new(move |id, outcome, total| exchange.counter_call_ended(id, outcome, total)),
        )
    }

    /// Makes all further calls at this address. Unanswered calls keep their connections. Returns whether the address is another
    /// than before.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        if std::mem::replace(&mut *locked(&self.address), address) == address {
            return false;
        }
        for lane in &self.lanes {
            // Taken out of its lane first, so that a call that meets a retired connection finds the lane free.
            let Some(connection) = locked(lane).connection.take() else { continue };
            connection.retire();
            locked(&self.retired).push(Arc::downgrade(&connection));
            connection.wake();
        }
        true
    }

    /// Closes connections that have been silent for too long. To be called several times a second.
    pub fn close_silent_connections(&self) {
        let mut connections: Vec<_> = {
            let mut retired = locked(&self.retired);
            retired.retain(|connection| connection.strong_count() > 0);
            retired.iter().filter_map(Weak::upgrade).collect()
        };
        connections.extend(self.lanes.iter().filter_map(|lane| locked(lane).connection.clone()));
        connections.iter().for_each(|connection| connection.close_if_silent());
    }

    /// Opens a lane's connection, writes the calls that wait for it, and reads answers until it ends.
    fn run_connection(&self, lane: &Mutex<Lane>) {
        let Some((connection, waiting)) = self.connect(lane) else { return };
        for call in waiting {
            match connection.write(&call) {
                WriteResult::Written => {}
                WriteResult::Failed => self.fail_to_connect(&call),
                WriteResult::Retired => self.call(call),
            }
        }
        // Why reading ended makes no difference: the connection is of no further use.
        let _ = connection.read_answers(&self.on_ended);
        connection.close();
        locked(lane).connection.take_if(|current| Arc::ptr_eq(current, &connection));
        // What was written may have been added: it is not known which calls the counter has had.
        for id in connection.take_pending() {
            (self.on_ended)(id, Outcome::Reset, 0.0);
        }
    }

    /// Connects a lane. Returns its connection and the calls that waited for it; none where the counter cannot be reached.
    fn connect(&self, lane: &Mutex<Lane>) -> Option<(Arc<CounterConnection>, Vec<CounterCall>)> {
        loop {
            let address = *locked(&self.address);
            let connection = Connection::connect(address, CONNECT_TIMEOUT);
            let mut lane = locked(lane);
            // Compared under the lane's lock: `set_address` looks at the lanes after it has changed the address.
            if address != *locked(&self.address) {
                continue;
            }
            let waiting = lane.waiting.take().unwrap_or_default();
            let Ok(connection) = connection else {
                drop(lane);
                waiting.iter().for_each(|call| self.fail_to_connect(call));
                return None;
            };
            let connection = Arc::new(CounterConnection::new(connection));
            lane.connection = Some(connection.clone());
            return Some((connection, waiting));
        }
    }

    /// Ends a call of which nothing was written.
    fn fail_to_connect(&self, call: &CounterCall) {
        (self.on_ended)(call.id, Outcome::ConnectFailed, 0.0);
    }
}

impl QuotaCounter for CounterClient {
    fn call(&self, call: CounterCall) {
        let lane = &self.lanes[lane::index_of(call.name)];
        loop {
            let mut state = locked(lane);
            if let Some(connection) = state.connection.clone().filter(|connection| !connection.is_closed()) {
                drop(state);
                match connection.write(&call) {
                    WriteResult::Written => return,
                    WriteResult::Failed => return self.fail_to_connect(&call),
                    WriteResult::Retired => continue,
                }
            }
            let queued = state.enqueue(call);
            drop(state);
            match queued {
                Queued::Waits => {}
                Queued::Full => self.fail_to_connect(&call),
                Queued::MustConnect => {
                    if let Some(this) = self.this.upgrade() {
                        spawn(move || this.run_connection(&this.lanes[lane::index_of(call.name)]));
                    }
                }
            }
            return;
        }
    }
}
