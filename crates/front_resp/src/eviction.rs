//! Eviction: closes idle connections to make room for new ones, and sheds large commands to free memory.

use crate::client::ClientConnection;
use crate::connection_table::ConnectionTable;
use crate::limits::LINGER_TIMEOUT;
use link::lock_or_abort;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// At the connection limit, a lingering connection is closed after the linger timeout divided by this number.
const LINGER_DIVISOR: u32 = 4;

/// A connection that may be evicted.
struct EvictionCandidate {
    client: Arc<ClientConnection>,
    state: EvictableState,
}

/// The state of a connection that may be evicted.
#[derive(Clone, Copy)]
enum EvictableState {
    /// The connection is ending, and its client has had this long to read the last answer.
    Lingering(Duration),
    /// The connection has had no request in flight for this long.
    Idle(Duration),
}

impl ConnectionTable {
    /// Evicts up to `count` connections that have no request in flight: lingering ones first, then the longest idle.
    pub(crate) fn evict(&self, count: usize) {
        if count == 0 {
            return;
        }
        let mut candidates: Vec<EvictionCandidate> =
            self.clients().into_iter().filter_map(EvictionCandidate::new).collect();
        candidates.sort_by_key(|candidate| Reverse(candidate.state.precedence()));
        candidates.into_iter().take(count).for_each(EvictionCandidate::evict);
    }

    /// Sheds the oldest incomplete command among those of at least `min_bytes`, to free its memory.
    pub(crate) fn shed_incomplete_command(&self, min_bytes: usize) {
        let clients = self.clients();
        let sheddable = clients.iter().filter_map(|client| {
            Some((lock_or_abort(&client.state).incomplete_command.sheddable_since(min_bytes)?, client))
        });
        if let Some((_, client)) = sheddable.min_by_key(|(since, _)| *since) {
            lock_or_abort(&client.state).incomplete_command.shed();
            client.socket.wake();
        }
    }
}

impl EvictionCandidate {
    /// Creates the candidate for a connection. Returns `None` if the connection is in use.
    fn new(client: Arc<ClientConnection>) -> Option<Self> {
        let evictable_state = {
            let state = lock_or_abort(&client.state);
            let lingering = state.lingering_for().map(EvictableState::Lingering);
            lingering.or_else(|| state.evictable_for().map(EvictableState::Idle))
        };
        evictable_state.map(|state| Self { client, state })
    }

    /// Closes a connection that has lingered for long enough. Otherwise asks its reader to close it, unless a request has
    /// arrived.
    fn evict(self) {
        match self.state {
            EvictableState::Lingering(time) if time >= LINGER_TIMEOUT / LINGER_DIVISOR => {
                self.client.socket.close()
            }
            EvictableState::Lingering(_) | EvictableState::Idle(_) => {
                lock_or_abort(&self.client.state).request_eviction();
                self.client.socket.wake();
            }
        }
    }
}

impl EvictableState {
    /// The time by which connections are ordered for eviction: the longest time is evicted first.
    fn precedence(self) -> Duration {
        match self {
            Self::Lingering(_) => Duration::MAX,
            Self::Idle(time) => time,
        }
    }
}
