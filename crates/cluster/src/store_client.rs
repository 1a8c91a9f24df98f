//! The client of the lease store, which is in memory or in Consul.

mod consul_api;

use crate::settings::LeaseStore;
use crate::worker_pool::TaskQueue;
use consul::TokenFile;
use consul_api::ConsulApi;
use job_lease::consul::LeaseKeys;
use job_lease::{LocalStore, Session, StoreError, StoreErrorCause};
use periodic_jobs::{StoreCall, StoreResponse};
use std::sync::mpsc::SyncSender;

/// The number of worker threads that call Consul.
const THREAD_COUNT: usize = 4;

/// A task for a worker thread that calls Consul.
#[derive(Debug)]
enum StoreTask {
    Call(StoreCall),
    /// End the session and then notify `done`, whether or not the call succeeds.
    EndSession {
        session: Session,
        done: SyncSender<()>,
    },
}

/// Calls the lease store, in memory or in Consul.
#[derive(Debug)]
pub(crate) enum StoreClient {
    /// Leases in the memory of this process.
    Local(LocalStore),
    /// Leases in Consul, which a worker pool calls.
    Consul(ConsulCalls),
}

/// The task queue of the worker pool that calls Consul.
#[derive(Debug)]
pub(crate) struct ConsulCalls(TaskQueue<StoreTask>);

impl StoreClient {
    /// Creates the client. For Consul, starts the worker threads that make the calls and pass the responses to `on_response`.
    pub(crate) fn start(
        store: &LeaseStore,
        instance_name: &str,
        on_response: impl Fn(StoreResponse) + Send + Sync + 'static,
    ) -> Self {
        let LeaseStore::Consul { address, prefix, timeout, token_file } = store.clone() else {
            return Self::Local(LocalStore::default());
        };
        let api = ConsulApi {
            agent: consul_api::agent(timeout, THREAD_COUNT),
            address,
            token: TokenFile::new(token_file),
            keys: LeaseKeys { prefix },
            instance_name: instance_name.to_owned(),
        };
        Self::Consul(ConsulCalls(TaskQueue::start("lease-store", THREAD_COUNT, move |task| match task {
            StoreTask::Call(call) => on_response(api.call(call)),
            StoreTask::EndSession { session, done } => {
                api.end_session(&session);
                let _ = done.send(());
            }
        })))
    }

    /// Makes a call. Returns its response, or `None` if a worker thread will pass the response to `on_response`. If the queue is
    /// full, the call fails at once.
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

    /// Ends a session and notifies `done`. If the queue is full, the call is not made and `done` is dropped: the session expires
    /// by its TTL.
    pub(crate) fn end_session(&self, session: Session, done: SyncSender<()>) {
        match self {
            Self::Local(_) => drop(done.try_send(())),
            Self::Consul(calls) => drop(calls.0.offer(StoreTask::EndSession { session, done })),
        }
    }

    /// Removes the leases in memory of the jobs for which `keep` returns false. Leases in Consul remain.
    pub(crate) fn retain_local_jobs(&mut self, keep: impl Fn(&str) -> bool) {
        if let Self::Local(store) = self {
            store.retain_jobs(keep);
        }
    }
}
