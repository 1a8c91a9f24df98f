//! The pools of all backends.

use crate::pooled_connection::PooledConnection;
use crate::protocol::Protocol;
use exchange::{AttemptEnd, AttemptId, Exchange, StreamBudget};
use link::locked;
use policy::{BackendId, BackendState, ListKind, Outcome, Timestamp};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::{Duration, Instant};

/// Bounds and timeouts of the pools.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A connection that is not established by then has failed.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this, before its backend does so.
    pub idle_timeout: Duration,
    /// Connections to all backends together.
    pub max_connections: usize,
    /// The most bytes of one answer that is buffered.
    pub max_answer_bytes: usize,
    /// The bytes that all streamed answers may hold together.
    pub stream_budget_bytes: usize,
}

/// A backend as discovery tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEndpoint {
    /// The backend.
    pub id: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub state: BackendState,
    /// Its most recent start: connections from before are dead.
    pub started: Timestamp,
}

/// Timeouts that new settings may change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    pub(crate) connect: Duration,
    pub(crate) idle: Duration,
}

/// The connections to all backends.
pub struct BackendPools<P: Protocol> {
    pub(crate) weak_self: Weak<Self>,
    pub(crate) protocol: P,
    pub(crate) limits: Limits,
    timeouts: Mutex<Timeouts>,
    exchange: OnceLock<Arc<Exchange<P::Payload, P::Answer>>>,
    pub(crate) state: Mutex<PoolsState<P::Payload>>,
    /// Attempts whose last byte the system has taken.
    pub(crate) attempts_written: AtomicU64,
    pub(crate) stream_budget: Arc<StreamBudget>,
}

pub(crate) struct PoolsState<Q> {
    pub(crate) pools: HashMap<BackendId, Pool<Q>>,
    pub(crate) carriers: HashMap<AttemptId, Carrier<Q>>,
    /// Connections that are open or being established.
    pub(crate) open_connections: usize,
    /// Backends that operators have ejected, listed or not: they get nothing new.
    pub(crate) operator_ejections: HashSet<BackendId>,
    /// A successor takes this process's place: no connection is kept.
    pub(crate) is_retired: bool,
    /// Connections that bring streamed answers.
    pub(crate) streaming: Vec<Weak<PooledConnection<Q>>>,
}

/// The pool of one backend.
pub(crate) struct Pool<Q> {
    pub(crate) endpoint: BackendEndpoint,
    /// When its state or address changed last.
    pub(crate) changed: Instant,
    /// The one used last at the end.
    pub(crate) idle: Vec<IdleConnection<Q>>,
}

pub(crate) struct IdleConnection<Q> {
    pub(crate) connection: Arc<PooledConnection<Q>>,
    pub(crate) since: Instant,
}

/// What carries an attempt.
pub(crate) enum Carrier<Q> {
    /// Its connection is being established.
    Connecting,
    /// It is on this connection.
    On(Arc<PooledConnection<Q>>),
}

impl<Q> Pool<Q> {
    pub(crate) fn close_idle(&mut self) {
        for idle in self.idle.drain(..) {
            idle.connection.socket.close();
        }
    }

    fn close_idle_for(&mut self, timeout: Duration, now: Instant) {
        self.idle.retain(|idle| {
            let keep = now.duration_since(idle.since) < timeout;
            if !keep {
                idle.connection.socket.close();
            }
            keep
        });
    }

    /// Whether the backend takes work at this address.
    fn accepts(&self, address: SocketAddr) -> bool {
        self.endpoint.state == BackendState::Ready && self.endpoint.address == address
    }

    fn update(&mut self, endpoint: &BackendEndpoint) {
        if self.endpoint != *endpoint {
            self.changed = Instant::now();
        }
        let has_moved =
            self.endpoint.address != endpoint.address || self.endpoint.started != endpoint.started;
        self.endpoint = endpoint.clone();
        if has_moved {
            self.close_idle();
        }
    }
}

impl<Q> PoolsState<Q> {
    /// Whether a backend may be sent something new at this address.
    pub(crate) fn takes_work(&self, backend: BackendId, address: SocketAddr) -> bool {
        let accepts = self.pools.get(&backend).is_some_and(|pool| pool.accepts(address));
        accepts && !self.operator_ejections.contains(&backend)
    }
}

impl<P: Protocol> BackendPools<P> {
    /// Pools without any backend yet.
    pub fn new(protocol: P, limits: Limits) -> Arc<Self> {
        let state = PoolsState {
            pools: HashMap::new(),
            carriers: HashMap::new(),
            open_connections: 0,
            operator_ejections: HashSet::new(),
            is_retired: false,
            streaming: Vec::new(),
        };
        let timeouts = Timeouts { connect: limits.connect_timeout, idle: limits.idle_timeout };
        Arc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            protocol,
            limits,
            timeouts: Mutex::new(timeouts),
            exchange: OnceLock::new(),
            state: Mutex::new(state),
            attempts_written: AtomicU64::new(0),
            stream_budget: StreamBudget::new(limits.stream_budget_bytes),
        })
    }

    /// The protocol that the backends speak.
    pub fn protocol(&self) -> &P {
        &self.protocol
    }

    /// Sets other timeouts, for connections that are established or swept from now on.
    pub fn set_timeouts(&self, connect: Duration, idle: Duration) {
        *locked(&self.timeouts) = Timeouts { connect, idle };
    }

    pub(crate) fn timeouts(&self) -> Timeouts {
        *locked(&self.timeouts)
    }

    /// Sets the exchange that is told how attempts end. A second call has no effect.
    pub fn set_exchange(&self, exchange: Arc<Exchange<P::Payload, P::Answer>>) {
        // Already set: the first stays.
        let _ = self.exchange.set(exchange);
    }

    pub(crate) fn exchange(&self) -> &Exchange<P::Payload, P::Answer> {
        self.exchange.get().expect("the exchange is set before any attempt")
    }

    /// Tells the exchange that an attempt ended without an answer.
    pub(crate) fn attempt_failed(&self, attempt: AttemptId, outcome: Outcome) {
        self.exchange().attempt_ended(attempt, AttemptEnd::without_answer(outcome));
    }

    /// Forgets what carries an attempt. Returns whether the attempt was still wanted.
    pub(crate) fn remove_carrier(&self, attempt: AttemptId) -> bool {
        locked(&self.state).carriers.remove(&attempt).is_some()
    }

    /// Applies an update of the endpoint list. This must come before the exchange gets it.
    pub fn update_endpoints(&self, kind: ListKind, endpoints: &[BackendEndpoint]) {
        let mut state = locked(&self.state);
        if matches!(kind, ListKind::Cached | ListKind::Full) {
            state.pools.values_mut().for_each(|pool| pool.endpoint.state = BackendState::Gone);
        }
        for endpoint in endpoints {
            match state.pools.get_mut(&endpoint.id) {
                Some(pool) => pool.update(endpoint),
                None => {
                    let pool = Pool { endpoint: endpoint.clone(), changed: Instant::now(), idle: Vec::new() };
                    state.pools.insert(endpoint.id, pool);
                }
            }
        }
        let not_ready = |pool: &&mut Pool<_>| pool.endpoint.state != BackendState::Ready;
        state.pools.values_mut().filter(not_ready).for_each(Pool::close_idle);
        state.pools.retain(|_, pool| pool.endpoint.state != BackendState::Gone);
    }

    /// Operators eject a backend, or admit it again. An ejected one gets nothing new from now on, also not what was decided before;
    /// what it was sent goes on. This must come before the exchange is told.
    pub fn set_operator_ejection(&self, backend: BackendId, ejected: bool) {
        let mut state = locked(&self.state);
        if ejected {
            state.operator_ejections.insert(backend);
        } else {
            state.operator_ejections.remove(&backend);
        }
        // What is idle may be from before a restart.
        if let Some(pool) = state.pools.get_mut(&backend) {
            pool.close_idle();
        }
    }

    /// Keeps no idle connection while a successor takes this process's place, or keeps them again.
    pub fn set_retired(&self, retired: bool) {
        let mut state = locked(&self.state);
        state.is_retired = retired;
        state.pools.values_mut().filter(|_| retired).for_each(Pool::close_idle);
    }

    /// Attempts that were written completely.
    pub fn attempts_written(&self) -> u64 {
        self.attempts_written.load(Ordering::Relaxed)
    }

    /// Closes connections that have been idle for too long, and has each streamed answer look whether it still moves. To be called
    /// periodically.
    pub fn sweep(&self) {
        let (now, timeout) = (Instant::now(), self.timeouts().idle);
        let mut state = locked(&self.state);
        for pool in state.pools.values_mut() {
            pool.close_idle_for(timeout, now);
        }
        let is_open = |connection: Arc<PooledConnection<_>>| !connection.socket.is_closed();
        state.streaming.retain(|connection| connection.upgrade().is_some_and(is_open));
        state.streaming.iter().filter_map(Weak::upgrade).for_each(|connection| connection.socket.wake());
    }

    /// Connections that are open or being established.
    pub fn open_connections(&self) -> usize {
        locked(&self.state).open_connections
    }
}
