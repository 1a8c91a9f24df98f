//! The state behind the lock of [`BackendPools`](crate::BackendPools): all pools, and which connection each attempt has.

use crate::pool::{BackendEndpoint, Pool};
use crate::pooled_connection::PooledConnection;
use exchange::AttemptId;
use policy::{BackendId, BackendState, ListKind};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// Time for which a connection is not reused after an answer. Surplus bytes after an answer (a duplicate or garbage) may arrive
/// some milliseconds late, as the operators' page states, and would otherwise be read as the answer to the next request.
const QUIET_TIME: Duration = Duration::from_millis(20);
/// Quiet time in place of [`QUIET_TIME`] while at least a quarter of the maximum number of connections is open: at thousands
/// of requests a second, each request would otherwise need a connection of its own.
const SHORT_QUIET_TIME: Duration = Duration::from_millis(5);
/// [`SHORT_QUIET_TIME`] applies once the number of connections reaches the connection limit divided by this number.
const SHORT_QUIET_TIME_DIVISOR: usize = 4;
/// Maximum time after a change of the endpoint in which an attempt that was decided before the change may reach its write.
const RECENT_CHANGE_WINDOW: Duration = Duration::from_millis(500);

/// The connection that was checked out for an attempt.
pub(crate) enum Checkout<Q> {
    /// An idle connection of the pool, which is already established.
    Idle(Arc<PooledConnection<Q>>),
    /// The caller must establish a connection to this address.
    New(SocketAddr),
}

/// The connection that is assigned to an attempt.
pub(crate) enum Assignment<Q> {
    /// A connection that is being established.
    Connecting,
    /// An established connection.
    Connected(Arc<PooledConnection<Q>>),
}

/// Whether an attempt may be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WritePermission {
    /// The attempt has not been cancelled.
    pub(crate) is_wanted: bool,
    /// The backend is eligible at the address of the connection.
    pub(crate) is_eligible: bool,
    /// The backend's endpoint changed within [`RECENT_CHANGE_WINDOW`], or operators have ejected the backend. The attempt may
    /// have been decided before the change or the ejection.
    pub(crate) is_recently_changed: bool,
}

pub(crate) struct PoolsState<Q> {
    pools: HashMap<BackendId, Pool<Q>>,
    assignments: HashMap<AttemptId, Assignment<Q>>,
    /// Connections that are open or being established.
    open_connections: usize,
    max_connections: usize,
    /// Backends that operators have ejected, whether or not the endpoint list has them.
    operator_ejections: HashSet<BackendId>,
    /// Whether a successor takes over from this process. No idle connection is kept then.
    is_retired: bool,
    /// Connections whose answers are being streamed.
    streaming_connections: Vec<Weak<PooledConnection<Q>>>,
}

impl<Q> PoolsState<Q> {
    pub(crate) fn new(max_connections: usize) -> Self {
        Self {
            pools: HashMap::new(),
            assignments: HashMap::new(),
            open_connections: 0,
            max_connections,
            operator_ejections: HashSet::new(),
            is_retired: false,
            streaming_connections: Vec::new(),
        }
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections
    }

    /// Assigns an idle connection to an attempt, or reserves a new one. `None` if the backend is unknown or ejected, or if the
    /// maximum number of connections is reached and none is idle.
    pub(crate) fn check_out(&mut self, attempt: AttemptId, backend: BackendId) -> Option<Checkout<Q>> {
        if self.operator_ejections.contains(&backend) {
            return None;
        }
        let quiet_time = self.quiet_time();
        let pool = self.pools.get_mut(&backend)?;
        let address = pool.address();
        if let Some(connection) = pool.take_idle(quiet_time) {
            self.assignments.insert(attempt, Assignment::Connected(connection.clone()));
            return Some(Checkout::Idle(connection));
        }
        if self.open_connections >= self.max_connections {
            // Evicts the oldest idle connection of any backend.
            self.close_oldest_idle()?;
        }
        self.open_connections += 1;
        self.assignments.insert(attempt, Assignment::Connecting);
        Some(Checkout::New(address))
    }

    fn quiet_time(&self) -> Duration {
        let has_many_connections = SHORT_QUIET_TIME_DIVISOR * self.open_connections >= self.max_connections;
        if has_many_connections { SHORT_QUIET_TIME } else { QUIET_TIME }
    }

    /// Closes the connection that has been idle longest among all pools; `None` if no connection is idle.
    fn close_oldest_idle(&mut self) -> Option<()> {
        let pools = self.pools.values_mut();
        let idle_pools = pools.filter_map(|pool| pool.oldest_idle_since().map(|since| (since, pool)));
        let (_, pool) = idle_pools.min_by_key(|(since, _)| *since)?;
        pool.close_oldest_idle();
        Some(())
    }

    /// Returns a connection to its pool, or closes it if its backend is no longer eligible at this address or a successor takes
    /// over.
    pub(crate) fn check_in(&mut self, connection: &Arc<PooledConnection<Q>>) {
        let is_retired = self.is_retired;
        let pool = self.pools.get_mut(&connection.backend);
        match pool.filter(|pool| pool.is_eligible_at(connection.address) && !is_retired) {
            Some(pool) => pool.put_idle(connection.clone()),
            None => connection.socket.close(),
        }
    }

    /// Assigns an established connection to an attempt.
    pub(crate) fn assign(&mut self, attempt: AttemptId, connection: &Arc<PooledConnection<Q>>) {
        self.assignments.insert(attempt, Assignment::Connected(connection.clone()));
    }

    /// Removes the assignment of an attempt; `None` if the attempt has ended or was cancelled.
    pub(crate) fn unassign(&mut self, attempt: AttemptId) -> Option<Assignment<Q>> {
        self.assignments.remove(&attempt)
    }

    /// Removes the assignment of an attempt that is not written completely.
    pub(crate) fn unassign_unwritten(&mut self, attempt: AttemptId) -> Option<Assignment<Q>> {
        let is_unwritten = match self.assignments.get(&attempt)? {
            Assignment::Connecting => true,
            Assignment::Connected(connection) => connection.is_unwritten(),
        };
        if is_unwritten { self.assignments.remove(&attempt) } else { None }
    }

    /// Whether a backend is eligible at this address: ready, and not ejected by operators.
    pub(crate) fn is_eligible(&self, backend: BackendId, address: SocketAddr) -> bool {
        let is_ready = self.pools.get(&backend).is_some_and(|pool| pool.is_eligible_at(address));
        is_ready && !self.operator_ejections.contains(&backend)
    }

    pub(crate) fn write_permission(
        &self,
        attempt: AttemptId,
        backend: BackendId,
        address: SocketAddr,
    ) -> WritePermission {
        let pool = self.pools.get(&backend);
        let has_changed = pool.is_some_and(|pool| pool.time_since_change() < RECENT_CHANGE_WINDOW);
        WritePermission {
            is_wanted: self.assignments.contains_key(&attempt),
            is_eligible: self.is_eligible(backend, address),
            is_recently_changed: has_changed || self.operator_ejections.contains(&backend),
        }
    }

    /// Releases the reservation of a connection that could not be established.
    pub(crate) fn connect_failed(&mut self) {
        self.open_connections -= 1;
    }

    /// Releases an established connection that has ended.
    pub(crate) fn connection_ended(&mut self, connection: &Arc<PooledConnection<Q>>) {
        self.open_connections -= 1;
        if let Some(pool) = self.pools.get_mut(&connection.backend) {
            pool.remove_idle(connection);
        }
    }

    /// Registers a connection whose answer is streamed, so that [`PoolsState::sweep`] wakes it.
    pub(crate) fn add_streaming(&mut self, connection: &Arc<PooledConnection<Q>>) {
        self.streaming_connections.push(Arc::downgrade(connection));
    }

    pub(crate) fn update_endpoints(&mut self, kind: ListKind, endpoints: &[BackendEndpoint]) {
        if matches!(kind, ListKind::Cached | ListKind::Full) {
            self.pools.values_mut().for_each(Pool::mark_gone);
        }
        for endpoint in endpoints {
            match self.pools.get_mut(&endpoint.id) {
                Some(pool) => pool.update(endpoint),
                None => drop(self.pools.insert(endpoint.id, Pool::new(endpoint.clone()))),
            }
        }
        let not_ready = |pool: &&mut Pool<_>| pool.state() != BackendState::Ready;
        self.pools.values_mut().filter(not_ready).for_each(Pool::close_idle);
        self.pools.retain(|_, pool| pool.state() != BackendState::Gone);
    }

    pub(crate) fn set_operator_ejection(&mut self, backend: BackendId, ejected: bool) {
        if ejected {
            self.operator_ejections.insert(backend);
        } else {
            self.operator_ejections.remove(&backend);
        }
        // Idle connections may be older than a restart of the backend.
        if let Some(pool) = self.pools.get_mut(&backend) {
            pool.close_idle();
        }
    }

    pub(crate) fn set_retired(&mut self, retired: bool) {
        self.is_retired = retired;
        if retired {
            self.pools.values_mut().for_each(Pool::close_idle);
        }
    }

    /// Closes connections that have been idle for `idle_timeout`, and wakes those with a streamed answer to check for a
    /// stall.
    pub(crate) fn sweep(&mut self, idle_timeout: Duration, now: Instant) {
        for pool in self.pools.values_mut() {
            pool.close_expired(idle_timeout, now);
        }
        let is_open = |connection: Arc<PooledConnection<_>>| !connection.socket.is_closed();
        self.streaming_connections.retain(|connection| connection.upgrade().is_some_and(is_open));
        self.streaming_connections
            .iter()
            .filter_map(Weak::upgrade)
            .for_each(|connection| connection.socket.wake());
    }
}
