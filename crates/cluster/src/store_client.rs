//! The client of the lease store, in memory or in Consul.

use crate::http_agent;
use crate::settings::LeaseStore;
use crate::worker_pool::TaskQueue;
use consul::TokenFile;
use job_lease::consul::{LeaseKeys, Method, Request, Response};
use job_lease::{CompareAndSetOutcome, LeaseListing, LocalStore, Session, StoreError, StoreErrorCause};
use periodic_jobs::{StoreCall, StoreResponse};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use ureq::Agent;

/// The number of threads that call the store.
const THREADS: usize = 4;
/// The size limit of a response.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;
/// The TTL of the session in seconds, the minimum that Consul accepts.
const SESSION_TTL_S: u64 = 10;

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
            agent: agent(timeout),
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

fn agent(timeout: Duration) -> Agent {
    http_agent::config_builder()
        .timeout_global(Some(timeout))
        .max_idle_connections(THREADS)
        .max_idle_connections_per_host(THREADS)
        .build()
        .into()
}

/// Consul's HTTP API for leases.
struct ConsulApi {
    agent: Agent,
    address: SocketAddr,
    token: TokenFile,
    keys: LeaseKeys,
    instance: String,
}

impl ConsulApi {
    /// Makes a call and waits for its response.
    fn call(&self, call: StoreCall) -> StoreResponse {
        match call {
            StoreCall::OpenSession => StoreResponse::SessionOpened(self.open_session()),
            StoreCall::RenewSession(session) => {
                let response = self.send(&Request::renew_session(&session));
                let result = response.and_then(|response| response.session_exists());
                StoreResponse::SessionRenewed { session, result }
            }
            StoreCall::ReadLeases { call, jobs } => {
                let result = self.read(&jobs);
                StoreResponse::LeasesRead { call, jobs, result }
            }
            StoreCall::CompareAndSet { call, job, record, expected_index, session } => {
                let request = self.keys.compare_and_set_request(&session, &job, &record, expected_index);
                let outcome = match self.send(&request) {
                    Ok(response) => self.keys.compare_and_set_outcome(&response, &job),
                    Err(error) => CompareAndSetOutcome::Failed(error),
                };
                StoreResponse::CompareAndSetDone { call, job, record, outcome }
            }
        }
    }

    fn end_session(&self, session: &Session) {
        // If the call fails, the session expires by its TTL.
        let _ = self.send(&Request::destroy_session(session));
    }

    /// Opens a session and acquires its key.
    fn open_session(&self) -> Result<Session, StoreError> {
        let created = self.send(&Request::create_session(&self.instance, SESSION_TTL_S))?;
        let session = self.keys.created_session(&created)?;
        if self.send(&Request::acquire_session_key(&session, &self.instance))?.key_acquired()? {
            Ok(session)
        } else {
            Err(StoreError::NotApplied(StoreErrorCause::SessionKeyHeld))
        }
    }

    /// Reads the leases of these jobs. A single lease is read alone, several with a listing of all.
    fn read(&self, jobs: &[String]) -> Result<LeaseListing, StoreError> {
        let single_job = if let [job] = jobs { Some(job.as_str()) } else { None };
        let response = self.send(&self.keys.read_request(single_job))?;
        let mut listing = self.keys.listing(&response, jobs)?;
        if single_job.is_some() {
            // A query for one key returns that key's index instead of the store's.
            listing.store_index = 0;
        }
        Ok(listing)
    }

    fn send(&self, request: &Request) -> Result<Response, StoreError> {
        let url = format!("http://{}{}", self.address, request.target);
        let token = self.token.current().map(|token| ("X-Consul-Token", token));
        let response = match request.method {
            Method::Get => {
                let get = self.agent.get(&url);
                token.into_iter().fold(get, |get, (name, value)| get.header(name, value)).call()
            }
            Method::Put => {
                let put = self.agent.put(&url);
                let put = token.into_iter().fold(put, |put, (name, value)| put.header(name, value));
                put.send(request.body.as_bytes())
            }
        };
        let mut response = response.map_err(transport_error)?;
        let index =
            response.headers().get("x-consul-index").and_then(|value| value.to_str().ok()?.parse().ok());
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        let body = body.map_err(|e| StoreError::OutcomeUnknown(StoreErrorCause::Transport(Box::new(e))))?;
        Ok(Response { status: response.status().as_u16(), index: index.unwrap_or(0), body })
    }
}

/// Classifies an error of the HTTP client. Only a call that failed to connect was certainly not applied.
fn transport_error(error: ureq::Error) -> StoreError {
    let failed_to_connect = match &error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(e) => e.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    };
    let cause = StoreErrorCause::Transport(Box::new(error));
    if failed_to_connect { StoreError::NotApplied(cause) } else { StoreError::OutcomeUnknown(cause) }
}
