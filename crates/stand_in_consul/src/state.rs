//! The state of a stand-in, and the lock that its listeners share.

use crate::service::{Registration, Service};
use crate::store::Store;
use std::collections::BTreeMap;
use std::sync::mpsc::Sender;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// State of a stand-in, common to all of its listeners.
#[derive(Debug, Default)]
pub struct State {
    /// Instances that the health and catalog endpoints return, by service name.
    pub services: BTreeMap<String, Vec<Service>>,
    /// Index of the last change of the services.
    pub services_index: u64,
    /// Services registered through the agent, by id.
    pub registrations: BTreeMap<String, Registration>,
    /// The ACL token that requests must have (`X-Consul-Token`); others are answered with 403. `None` accepts all requests.
    pub token: Option<String>,
    /// Value of `X-Consul-LastContact`, in milliseconds.
    pub last_contact_ms: u64,
    /// Whether responses report that there is no leader (`X-Consul-KnownLeader: false`). Requests are applied nevertheless.
    pub leaderless: bool,
    /// Whether bodies are compressed for clients that accept gzip.
    pub compresses: bool,
    pub(crate) store: Store,
    /// Number of restarts. A blocking query ends when it changes.
    pub(crate) incarnation: u64,
    /// Receives the method and the target of each request.
    pub(crate) request_log: Option<Sender<String>>,
    /// Number of requests by method and the first two segments of the path.
    pub(crate) request_counts: BTreeMap<String, u64>,
    /// Whether the stand-in is shut down.
    pub(crate) is_stopped: bool,
}

/// The state under a lock, with a notification of its changes for blocking queries.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    state: Mutex<State>,
    changed: Condvar,
}

impl SharedState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Changes the state and wakes the blocking queries, which check whether their index has changed.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.lock());
        self.notify_changed();
        result
    }

    pub(crate) fn notify_changed(&self) {
        self.changed.notify_all();
    }

    /// Waits while the condition holds, up to the timeout.
    pub(crate) fn wait_while(&self, timeout: Duration, condition: impl FnMut(&mut State) -> bool) {
        drop(self.changed.wait_timeout_while(self.lock(), timeout, condition));
    }
}

/// Locks a mutex and ignores poisoning: a panic in one test thread must not fail the others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
