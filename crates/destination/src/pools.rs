//! The public interface of the connection pools.

use crate::pool::BackendEndpoint;
use crate::pools_state::PoolsState;
use crate::protocol::Protocol;
use exchange::{AttemptEnd, AttemptId, Exchange, StreamBudget};
use link::lock_or_abort;
use policy::{BackendId, ListKind, Outcome};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::time::{Duration, Instant};

/// Limits and timeouts of the pools.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Maximum time for which a connection is idle. It must be below the backends' own idle timeout.
    pub idle_timeout: Duration,
    /// Maximum number of connections to all backends together.
    pub max_connections: usize,
    /// Maximum bytes of an answer that is buffered.
    pub max_answer_bytes: usize,
    /// Maximum bytes that all streamed answers buffer together.
    pub stream_budget_bytes: usize,
}

/// The timeouts that new settings may change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    pub(crate) connect: Duration,
    pub(crate) idle: Duration,
}

/// The connection pools of all backends, and the attempts on their connections.
pub struct BackendPools<P: Protocol> {
    pub(crate) weak_self: Weak<Self>,
    pub(crate) protocol: P,
    pub(crate) limits: Limits,
    timeouts: Mutex<Timeouts>,
    exchange: OnceLock<Arc<Exchange<P::Payload, P::Answer>>>,
    state: Mutex<PoolsState<P::Payload>>,
    attempts_written: AtomicU64,
    pub(crate) stream_budget: Arc<StreamBudget>,
}

impl<P: Protocol> BackendPools<P> {
    /// Creates pools without backends. [`BackendPools::set_exchange`] must follow before the first attempt.
    pub fn new(protocol: P, limits: Limits) -> Arc<Self> {
        let timeouts = Timeouts { connect: limits.connect_timeout, idle: limits.idle_timeout };
        Arc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            protocol,
            limits,
            timeouts: Mutex::new(timeouts),
            exchange: OnceLock::new(),
            state: Mutex::new(PoolsState::new(limits.max_connections)),
            attempts_written: AtomicU64::new(0),
            stream_budget: StreamBudget::new(limits.stream_budget_bytes),
        })
    }

    /// Returns the wire protocol that all backends of these pools speak.
    pub fn protocol(&self) -> &P {
        &self.protocol
    }

    /// Replaces the timeouts: `connect` applies to connections that are opened later, `idle` to all connections.
    pub fn set_timeouts(&self, connect: Duration, idle: Duration) {
        *lock_or_abort(&self.timeouts) = Timeouts { connect, idle };
    }

    pub(crate) fn timeouts(&self) -> Timeouts {
        *lock_or_abort(&self.timeouts)
    }

    /// Sets the exchange that the ends of attempts are reported to. A second call has no effect.
    pub fn set_exchange(&self, exchange: Arc<Exchange<P::Payload, P::Answer>>) {
        // `set` fails if the pools have an exchange already, which they then keep.
        let _ = self.exchange.set(exchange);
    }

    pub(crate) fn exchange(&self) -> &Exchange<P::Payload, P::Answer> {
        self.exchange.get().expect("the exchange is set before any attempt")
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, PoolsState<P::Payload>> {
        lock_or_abort(&self.state)
    }

    /// Reports the end of an attempt without an answer to the exchange.
    pub(crate) fn attempt_failed(&self, attempt: AttemptId, outcome: Outcome) {
        self.exchange().attempt_ended(attempt, AttemptEnd::without_answer(outcome));
    }

    /// Removes the assignment of an attempt. Returns whether the attempt was still wanted.
    pub(crate) fn unassign(&self, attempt: AttemptId) -> bool {
        self.state().unassign(attempt).is_some()
    }

    /// Applies an update of the endpoint list. The caller must call this before it passes the update to the exchange.
    pub fn update_endpoints(&self, kind: ListKind, endpoints: &[BackendEndpoint]) {
        self.state().update_endpoints(kind, endpoints);
    }

    /// Sets or clears the operators' ejection of a backend. Nothing is written to an ejected backend from now on, not even
    /// attempts that were decided before; attempts that are written already continue. The caller must call this before it
    /// notifies the exchange.
    pub fn set_operator_ejection(&self, backend: BackendId, ejected: bool) {
        self.state().set_operator_ejection(backend, ejected);
    }

    /// Sets whether a successor of a hot restart serves in place of this process. If so, idle connections are closed.
    pub fn set_retired(&self, retired: bool) {
        self.state().set_retired(retired);
    }

    /// Returns the number of attempts, since the start of the process, whose request the kernel has accepted completely.
    pub fn attempts_written(&self) -> u64 {
        self.attempts_written.load(Ordering::Relaxed)
    }

    pub(crate) fn count_attempt_written(&self) {
        self.attempts_written.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes connections that have been idle for too long, and lets each streamed answer check for a stall. The caller runs
    /// this periodically.
    pub fn sweep(&self) {
        let (now, idle_timeout) = (Instant::now(), self.timeouts().idle);
        self.state().sweep(idle_timeout, now);
    }

    /// Returns the number of backend connections that are open or being established.
    pub fn open_connections(&self) -> usize {
        self.state().open_connections()
    }
}
