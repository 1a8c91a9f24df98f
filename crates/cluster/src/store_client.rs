//! Calls to the lease store.

use crate::settings::LeaseStore;
use crate::worker_pool::TaskQueue;
use consul::TokenFile;
use job_lease::consul::{LeaseKeys, Method, Request, Response};
use job_lease::{
    CompareAndSetOutcome, LeaseListing, LeaseRecord, LocalStore, Session, StoreError, StoreErrorCause,
};
use periodic_jobs::CallId;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use ureq::Agent;

/// Threads that call the store.
const THREADS: usize = 4;
/// The size limit of a response.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;
/// Seconds without renewal after which the session ends: the least that Consul accepts.
const SESSION_TTL_S: u64 = 10;

/// A call to the store.
#[derive(Debug)]
pub(crate) enum StoreCall {
    OpenSession,
    RenewSession(Session),
    ReadLeases {
        call: CallId,
        jobs: Vec<String>,
    },
    CompareAndSet {
        call: CallId,
        job: String,
        record: LeaseRecord,
        expected_index: u64,
        session: Session,
    },
    /// The last one; the sender is notified when it is done.
    EndSession(Session, SyncSender<()>),
}

/// The response to a [`StoreCall`].
#[derive(Debug)]
pub(crate) enum StoreResponse {
    SessionOpened(Result<Session, StoreError>),
    SessionRenewed(Session, Result<bool, StoreError>),
    LeasesRead { call: CallId, jobs: Vec<String>, result: Result<LeaseListing, StoreError> },
    CompareAndSetDone { call: CallId, job: String, record: LeaseRecord, outcome: CompareAndSetOutcome },
}

impl StoreCall {
    /// The response of the store of this process.
    pub(crate) fn answer_locally(self, store: &mut LocalStore) -> Option<StoreResponse> {
        Some(match self {
            Self::OpenSession => StoreResponse::SessionOpened(Ok(store.open_session())),
            Self::RenewSession(session) => StoreResponse::SessionRenewed(session, Ok(true)),
            Self::ReadLeases { call, jobs } => {
                let result = Ok(store.read(&jobs));
                StoreResponse::LeasesRead { call, jobs, result }
            }
            Self::CompareAndSet { call, job, record, expected_index, .. } => {
                let outcome = store.compare_and_set(&job, record.clone(), expected_index);
                StoreResponse::CompareAndSetDone { call, job, record, outcome }
            }
            Self::EndSession(..) => return None,
        })
    }

    /// The response to a call that was never sent, since too many wait.
    pub(crate) fn rejected(self) -> Option<StoreResponse> {
        let error = StoreError::NotApplied(StoreErrorCause::QueueFull);
        Some(match self {
            Self::OpenSession => StoreResponse::SessionOpened(Err(error)),
            Self::RenewSession(session) => StoreResponse::SessionRenewed(session, Err(error)),
            Self::ReadLeases { call, jobs } => StoreResponse::LeasesRead { call, jobs, result: Err(error) },
            Self::CompareAndSet { call, job, record, .. } => {
                let outcome = CompareAndSetOutcome::Failed(error);
                StoreResponse::CompareAndSetDone { call, job, record, outcome }
            }
            Self::EndSession(..) => return None,
        })
    }
}

/// Starts the threads that call the store; `None` where the leases are kept in the process.
pub(crate) fn start(
    store: &LeaseStore,
    instance: &str,
    on_response: impl Fn(StoreResponse) + Send + Sync + 'static,
) -> Option<TaskQueue<StoreCall>> {
    let LeaseStore::Consul { address, prefix, timeout, token_file } = store.clone() else {
        return None;
    };
    let client = ConsulClient {
        agent: agent(timeout),
        address,
        token: TokenFile::new(token_file),
        keys: LeaseKeys { prefix },
        instance: instance.to_owned(),
    };
    Some(TaskQueue::start("lease-store", THREADS, move |call| {
        if let Some(response) = client.apply_action(call) {
            on_response(response);
        }
    }))
}

fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_redirects(0)
        // An environment variable must not redirect the calls.
        .proxy(None)
        .max_idle_connections(THREADS)
        .max_idle_connections_per_host(THREADS)
        .user_agent("snowfield")
        .build()
        .into()
}

/// The leases in Consul's KV store.
struct ConsulClient {
    agent: Agent,
    address: SocketAddr,
    token: TokenFile,
    keys: LeaseKeys,
    instance: String,
}

impl ConsulClient {
    /// Makes a call; `None` where nobody awaits a response.
    fn apply_action(&self, call: StoreCall) -> Option<StoreResponse> {
        Some(match call {
            StoreCall::OpenSession => StoreResponse::SessionOpened(self.open_session()),
            StoreCall::RenewSession(session) => {
                let renewed = self.send(&Request::renew_session(&session)).and_then(|r| r.session_exists());
                StoreResponse::SessionRenewed(session, renewed)
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
            StoreCall::EndSession(session, done) => {
                // Where this fails the session ends by its time to live.
                let _ = self.send(&Request::destroy_session(&session));
                let _ = done.send(());
                return None;
            }
        })
    }

    /// Opens a session that holds its own key.
    fn open_session(&self) -> Result<Session, StoreError> {
        let created = self.send(&Request::create_session(&self.instance, SESSION_TTL_S))?;
        let session = self.keys.created_session(&created)?;
        if self.send(&Request::acquire_session_key(&session, &self.instance))?.key_acquired()? {
            Ok(session)
        } else {
            Err(StoreError::NotApplied(StoreErrorCause::SessionKeyHeld))
        }
    }

    /// Reads one job's lease alone, and those of more with the whole list.
    fn read(&self, jobs: &[String]) -> Result<LeaseListing, StoreError> {
        let single = if let [job] = jobs { Some(job.as_str()) } else { None };
        let mut listing = self.keys.listing(&self.send(&self.keys.read_request(single))?, jobs)?;
        if single.is_some() {
            // A query of one key returns that key's index, which says nothing about the store's.
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

/// Only a call that failed while its connection was made was surely not applied.
fn transport_error(error: ureq::Error) -> StoreError {
    let connecting = match &error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(e) => e.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    };
    let cause = StoreErrorCause::Transport(Box::new(error));
    if connecting { StoreError::NotApplied(cause) } else { StoreError::OutcomeUnknown(cause) }
}
