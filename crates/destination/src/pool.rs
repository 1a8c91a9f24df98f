//! The pool of one backend: its endpoint and its idle connections.

use crate::pooled_connection::PooledConnection;
use policy::{BackendId, BackendState, Timestamp};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The endpoint of a backend, as the endpoint list states it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEndpoint {
    /// Identifies the backend in the policy and the exchange.
    pub id: BackendId,
    /// The address that the backend listens on.
    pub address: SocketAddr,
    /// Whether the backend is eligible for new attempts.
    pub state: BackendState,
    /// The most recent start of the backend's process. Connections to an earlier process are dead.
    pub started: Timestamp,
}

struct IdleConnection<Q> {
    connection: Arc<PooledConnection<Q>>,
    idle_since: Instant,
}

/// The pool of one backend.
pub(crate) struct Pool<Q> {
    endpoint: BackendEndpoint,
    changed_at: Instant,
    /// Idle connections in the order in which they became idle; the latest is at the end.
    idle: Vec<IdleConnection<Q>>,
}

impl<Q> Pool<Q> {
    pub(crate) fn new(endpoint: BackendEndpoint) -> Self {
        Self { endpoint, changed_at: Instant::now(), idle: Vec::new() }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.endpoint.address
    }

    pub(crate) fn state(&self) -> BackendState {
        self.endpoint.state
    }

    /// Whether the backend is eligible at this address.
    pub(crate) fn is_eligible_at(&self, address: SocketAddr) -> bool {
        self.endpoint.state == BackendState::Ready && self.endpoint.address == address
    }

    /// Time since the endpoint last changed.
    pub(crate) fn time_since_change(&self) -> Duration {
        self.changed_at.elapsed()
    }

    /// Applies a new version of the endpoint. Connections to an earlier address or process are closed.
    pub(crate) fn update(&mut self, endpoint: &BackendEndpoint) {
        if self.endpoint != *endpoint {
            self.changed_at = Instant::now();
        }
        let has_moved =
            self.endpoint.address != endpoint.address || self.endpoint.started != endpoint.started;
        self.endpoint = endpoint.clone();
        if has_moved {
            self.close_idle();
        }
    }

    /// Marks the backend as gone until an update lists it again.
    pub(crate) fn mark_gone(&mut self) {
        self.endpoint.state = BackendState::Gone;
    }

    /// Adds a connection that has become idle, and acknowledges its answer at once. The backend's system may hold back surplus
    /// bytes after the answer until the acknowledgement, and these bytes must arrive before the connection is reused.
    pub(crate) fn put_idle(&mut self, connection: Arc<PooledConnection<Q>>) {
        connection.socket.acknowledge();
        self.idle.push(IdleConnection { connection, idle_since: Instant::now() });
    }

    /// Takes the connection that became idle last, among those that have been idle for `quiet_time`. A connection with unread
    /// bytes is closed: its backend has sent bytes without a request, or has closed the connection.
    pub(crate) fn take_idle(&mut self, quiet_time: Duration) -> Option<Arc<PooledConnection<Q>>> {
        let now = Instant::now();
        let is_quiet = |idle: &IdleConnection<_>| now.duration_since(idle.idle_since) >= quiet_time;
        loop {
            let last = self.idle.partition_point(is_quiet).checked_sub(1)?;
            let connection = self.idle.remove(last).connection;
            if !connection.socket.is_closed() && !connection.socket.has_unread() {
                return Some(connection);
            }
            connection.socket.close();
        }
    }

    /// When the connection that has been idle longest became idle.
    pub(crate) fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.first().map(|idle| idle.idle_since)
    }

    /// Closes the connection that has been idle longest.
    pub(crate) fn close_oldest_idle(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0).connection.socket.close();
        }
    }

    /// Removes a connection that has ended, if it was idle.
    pub(crate) fn remove_idle(&mut self, connection: &Arc<PooledConnection<Q>>) {
        self.idle.retain(|idle| !Arc::ptr_eq(&idle.connection, connection));
    }

    pub(crate) fn close_idle(&mut self) {
        for idle in self.idle.drain(..) {
            idle.connection.socket.close();
        }
    }

    /// Closes the connections that have been idle for `timeout`.
    pub(crate) fn close_expired(&mut self, timeout: Duration, now: Instant) {
        self.idle.retain(|idle| {
            let is_fresh = now.duration_since(idle.idle_since) < timeout;
            if !is_fresh {
                idle.connection.socket.close();
            }
            is_fresh
        });
    }
}
