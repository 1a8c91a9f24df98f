//! The client of the lease store, in memory or in Consul.

mod consul_api;

use crate::settings::LeaseStore;
use crate::worker_pool::TaskQueue;
use consul::TokenFile;
use consul_api::ConsulApi;
use job_lease::consul::LeaseKeys;
use job_lease::{LocalStore, Session, StoreError, StoreErrorCause};
use periodic_jobs::{StoreCall, StoreResponse};
use std::sync::mpsc::SyncSender;

/// The number of threads that call the store.
const THREADS: usize = 4;

/// A task for the threads that call Consul.
#[derive(Debug)]
enum StoreTask {
    Call(StoreCall),
    /// Ends the session. `done` is notified afterwards.
    EndSession {
        session: Session,
        done: SyncSender<()>,
    },
}

/// The client of the lease store.
#[derive(Debug)]
pub(crate) enum StoreClient {
    /// Leases in memory.
    Local(LocalStore),
    /// Leases in Consul, called from a worker pool.
    Consul(ConsulCalls),
}

/// The queue of calls to Consul.
#[derive(Debug)]
pub(crate) struct ConsulCalls(TaskQueue<StoreTask>);

impl StoreClient {
    /// Creates the client. For Consul this starts the threads that make the calls and pass the responses to `on_response`.
    pub(crate) fn start(
        store: &LeaseStore,
        instance: &str,
        on_response: impl Fn(StoreResponse) + Send + Sync + 'static,
    ) -> Self {
        let LeaseStore::Consul { address, prefix, timeout, token_file } = store.clone() else {
            return Self::Local(LocalStore::default());
        };
        let api = ConsulApi {
            agent: consul_api::agent(timeout, THREADS),
            address,
            token: TokenFile::new(token_file),
            keys: LeaseKeys { prefix },
            instance: instance.to_owned(),
        };
        Self::Consul(ConsulCalls(TaskQueue::start("lease-store", THREADS, move |task| match task {
            StoreTask::Call(call) => on_response(api.call(call)),
            StoreTask::EndSession { session, done } => {
                api.end_session(&session);
                let _ = done.send(());
            }
        })))
    }

    /// Makes a call. Returns its response, or `None` if a thread will pass it on later. A call that finds the queue full
    /// fails at once.
    pub(crate) fn call(&mut self, call: StoreCall) -> Option<StoreResponse> {
        match self {
            Self::Local(store) => Some(call.apply_to(store)),
            Self::Consul(calls) => match calls.0.offer(StoreTask::Call(call)) {
                Err(StoreTask::Call(call)) => {
                    Some(call.fail(StoreError::NotApplied(StoreErrorCause::QueueFull)))
                }
                Ok(()) | Err(StoreTask::EndSession { .. }) => None,
            },
        }
    }

    /// Ends a session and notifies `done`. If the queue is full, drops both: the session expires by its TTL.
    pub(crate) fn end_session(&self, session: Session, done: SyncSender<()>) {
        match self {
            Self::Local(_) => drop(done.try_send(())),
            Self::Consul(calls) => drop(calls.0.offer(StoreTask::EndSession { session, done })),
        }
    }

    /// Removes the leases in memory for which `keep` returns false. Leases in Consul remain.
    pub(crate) fn retain_local_jobs(&mut self, keep: impl Fn(&str) -> bool) {
        if let Self::Local(store) = self {
            store.retain_jobs(keep);
        }
    }
}
