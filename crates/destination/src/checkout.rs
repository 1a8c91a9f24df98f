//! Which connection an attempt gets.

use crate::pooled_connection::PooledConnection;
use crate::pools::{BackendPools, Carrier, IdleConnection, PoolsState};
use crate::protocol::Protocol;
use exchange::Attempt;
use link::locked;
use policy::BackendState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection is not used again for this long after an answer. Bytes that come behind an answer, a duplicate or noise, would
/// else be read as the answer to the next request; they come some milliseconds late (the operators' page).
const QUIET_TIME: Duration = Duration::from_millis(20);
/// The same if a quarter of all connections is open already: at thousands of requests a second each would else need one of its
/// own.
const SHORT_QUIET_TIME: Duration = Duration::from_millis(5);
const SHORT_QUIET_TIME_PART: usize = 4;

/// What an attempt is to be made on.
pub(crate) enum Checkout<Q> {
    /// An idle connection.
    Idle(Arc<PooledConnection<Q>>),
    /// A new connection to this address.
    New(SocketAddr),
}

impl<P: Protocol> BackendPools<P> {
    /// An idle connection for this attempt, or where to make a new one; `None` where neither is possible.
    pub(crate) fn check_out(&self, attempt: &Attempt<P::Payload>) -> Option<Checkout<P::Payload>> {
        let mut state = locked(&self.state);
        if state.operator_ejections.contains(&attempt.backend) {
            return None;
        }
        let address = state.pools.get(&attempt.backend)?.endpoint.address;
        if let Some(connection) = self.take_idle(&mut state, attempt) {
            state.carriers.insert(attempt.id, Carrier::On(connection.clone()));
            return Some(Checkout::Idle(connection));
        }
        if state.open_connections >= self.limits.max_connections {
            // Another backend's idle connection makes room.
            state.close_oldest_idle()?;
        }
        state.open_connections += 1;
        state.carriers.insert(attempt.id, Carrier::Connecting);
        Some(Checkout::New(address))
    }

    /// The connection used last that has been quiet for long enough. One with unread bytes speaks out of turn or has ended: it is
    /// closed.
    fn take_idle(
        &self,
        state: &mut PoolsState<P::Payload>,
        attempt: &Attempt<P::Payload>,
    ) -> Option<Arc<PooledConnection<P::Payload>>> {
        let has_many = SHORT_QUIET_TIME_PART * state.open_connections >= self.limits.max_connections;
        let quiet_time = if has_many { SHORT_QUIET_TIME } else { QUIET_TIME };
        let now = Instant::now();
        let pool = state.pools.get_mut(&attempt.backend)?;
        loop {
            let is_quiet = |idle: &IdleConnection<_>| now.duration_since(idle.since) >= quiet_time;
            let last = pool.idle.partition_point(is_quiet).checked_sub(1)?;
            let connection = pool.idle.remove(last).connection;
            if !connection.socket.is_closed() && !connection.socket.has_unread() {
                return Some(connection);
            }
            connection.socket.close();
        }
    }

    /// Returns a connection to the pool, or closes it where its backend takes no work any more.
    pub(crate) fn check_in(&self, connection: &Arc<PooledConnection<P::Payload>>) {
        let mut state = locked(&self.state);
        let is_retired = state.is_retired;
        let pool = state.pools.get_mut(&connection.backend).filter(|pool| {
            let is_ready = pool.endpoint.state == BackendState::Ready;
            is_ready && pool.endpoint.address == connection.address && !is_retired
        });
        match pool {
            Some(pool) => {
                pool.idle.push(IdleConnection { connection: connection.clone(), since: Instant::now() });
            }
            None => connection.socket.close(),
        }
    }
}

impl<Q> PoolsState<Q> {
    /// Closes the connection of any pool that has been idle for longest, if there is one.
    fn close_oldest_idle(&mut self) -> Option<()> {
        let pools = self.pools.values_mut().filter(|pool| !pool.idle.is_empty());
        let pool = pools.min_by_key(|pool| pool.idle[0].since)?;
        pool.idle.remove(0).connection.socket.close();
        Some(())
    }
}
