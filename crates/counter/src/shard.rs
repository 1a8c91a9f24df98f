//! Shards: a client spreads its calls over several independent connections by the name of the count.

use crate::connection::{CounterConnection, MAX_PENDING_CALLS};
use exchange::CounterCall;
use std::sync::Arc;

/// Number of shards of a client, each with its own connection. All calls of a count use one shard, so that their answers arrive
/// in order. A slow part of the counter delays only the shards that call that part (head-of-line blocking).
pub(crate) const SHARD_COUNT: usize = 4;

/// Connection of a shard, or the calls that wait until it is open.
#[derive(Default)]
pub(crate) struct Shard {
    connection: Option<Arc<CounterConnection>>,
    /// Calls that wait for the connection; `None` unless it is being opened.
    waiting: Option<Vec<CounterCall>>,
}

/// Index of the shard of the count with this name.
pub(crate) fn index_of(count_name: u64) -> usize {
    (count_name % SHARD_COUNT as u64) as usize
}

/// Result of [`Shard::enqueue`].
pub(crate) enum EnqueueResult {
    /// The call waits, and the connection is being opened already.
    Waiting,
    /// The call is the first to wait. The caller must open the connection.
    MustConnect,
    /// The queue is full, and the call was not added to it.
    Full,
}

impl Shard {
    pub(crate) fn connection(&self) -> Option<Arc<CounterConnection>> {
        self.connection.clone()
    }

    /// The open connection of the shard; `None` if the shard has no connection or its connection is closed.
    pub(crate) fn open_connection(&self) -> Option<Arc<CounterConnection>> {
        self.connection.clone().filter(|connection| !connection.is_closed())
    }

    pub(crate) fn set_connection(&mut self, connection: Arc<CounterConnection>) {
        self.connection = Some(connection);
    }

    pub(crate) fn take_connection(&mut self) -> Option<Arc<CounterConnection>> {
        self.connection.take()
    }

    /// Removes this connection, unless another one has replaced it.
    pub(crate) fn remove_connection(&mut self, connection: &Arc<CounterConnection>) {
        self.connection.take_if(|current| Arc::ptr_eq(current, connection));
    }

    /// Queues a call until the connection is open.
    pub(crate) fn enqueue(&mut self, call: CounterCall) -> EnqueueResult {
        match &mut self.waiting {
            Some(waiting) if waiting.len() < MAX_PENDING_CALLS => {
                waiting.push(call);
                EnqueueResult::Waiting
            }
            Some(_) => EnqueueResult::Full,
            None => {
                self.waiting = Some(vec![call]);
                EnqueueResult::MustConnect
            }
        }
    }

    /// Removes and returns the calls that wait for the connection, in order. The connection no longer counts as being opened.
    pub(crate) fn take_waiting(&mut self) -> Vec<CounterCall> {
        self.waiting.take().unwrap_or_default()
    }
}
