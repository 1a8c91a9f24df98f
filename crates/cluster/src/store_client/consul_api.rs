//! Calls of Consul's HTTP API for leases and sessions.

use crate::http_agent;
use consul::TokenFile;
use job_lease::consul::{LeaseKeys, Method, Request, Response};
use job_lease::{CompareAndSetOutcome, LeaseListing, Session, StoreError, StoreErrorCause};
use periodic_jobs::{StoreCall, StoreResponse};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::{Agent, Body, RequestBuilder, http};

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;
/// The TTL of the session, the minimum that Consul accepts.
const SESSION_TTL: Duration = Duration::from_secs(10);
/// The request header with the ACL token.
const TOKEN_HEADER: &str = "X-Consul-Token";
/// The response header with the index of the store, or of the key if a single key was queried.
const INDEX_HEADER: &str = "X-Consul-Index";

/// Returns a client that keeps up to `max_idle_connections` connections open.
pub(super) fn agent(timeout: Duration, max_idle_connections: usize) -> Agent {
    http_agent::config_builder()
        .timeout_global(Some(timeout))
        .max_idle_connections(max_idle_connections)
        .max_idle_connections_per_host(max_idle_connections)
        .build()
        .into()
}

/// A client of Consul's HTTP API for leases and sessions.
pub(super) struct ConsulApi {
    pub(super) agent: Agent,
    pub(super) address: SocketAddr,
    pub(super) token: TokenFile,
    pub(super) keys: LeaseKeys,
    pub(super) instance_name: String,
}

impl ConsulApi {
    /// Makes a call of the scheduler, which may take several HTTP requests, and waits for the response.
    pub(super) fn call(&self, call: StoreCall) -> StoreResponse {
        match call {
            StoreCall::OpenSession => StoreResponse::SessionOpened(self.open_session()),
            StoreCall::RenewSession(session) => {
                let response = self.send(&Request::renew_session(&session));
                let result = response.and_then(|response| response.session_exists());
                StoreResponse::SessionRenewed { session, result }
            }
            StoreCall::ReadLeases { call, jobs } => {
                let result = self.read_leases(&jobs);
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

    pub(super) fn end_session(&self, session: &Session) {
        // If the call fails, the session expires by its TTL.
        let _ = self.send(&Request::destroy_session(session));
    }

    /// Creates a session and acquires the session's own key.
    fn open_session(&self) -> Result<Session, StoreError> {
        let created = self.send(&Request::create_session(&self.instance_name, SESSION_TTL))?;
        let session = self.keys.created_session(&created)?;
        if self.send(&Request::acquire_session_key(&session, &self.instance_name))?.key_acquired()? {
            Ok(session)
        } else {
            Err(StoreError::NotApplied(StoreErrorCause::SessionKeyHeld))
        }
    }

    /// Reads the leases of these jobs. A single lease is read by its key, several leases by listing the leases of all jobs.
    fn read_leases(&self, jobs: &[String]) -> Result<LeaseListing, StoreError> {
        let single_job = if let [job] = jobs { Some(job.as_str()) } else { None };
        let response = self.send(&self.keys.read_request(single_job))?;
        let mut listing = self.keys.listing(&response, jobs)?;
        if single_job.is_some() {
            // A query for one key returns that key's index instead of the store's.
            listing.store_index = 0;
        }
        Ok(listing)
    }

    /// Sends a request and reads the complete response.
    fn send(&self, request: &Request) -> Result<Response, StoreError> {
        let mut response = self.send_request(request).map_err(transport_error)?;
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        let body = body.map_err(|e| StoreError::OutcomeUnknown(StoreErrorCause::Transport(Box::new(e))))?;
        Ok(Response { status: response.status().as_u16(), index: consul_index(&response), body })
    }

    /// Sends a request and waits for the head of the response.
    fn send_request(&self, request: &Request) -> Result<http::Response<Body>, ureq::Error> {
        let url = format!("http://{}{}", self.address, request.target);
        match request.method {
            Method::Get => self.with_token(self.agent.get(url)).call(),
            Method::Put => self.with_token(self.agent.put(url)).send(request.body.as_bytes()),
        }
    }

    /// Adds the ACL token, if one is configured.
    fn with_token<B>(&self, request: RequestBuilder<B>) -> RequestBuilder<B> {
        match self.token.current() {
            Some(token) => request.header(TOKEN_HEADER, token),
            None => request,
        }
    }
}

/// Returns the index in the header of a response, or 0 if there is no valid index.
fn consul_index(response: &http::Response<Body>) -> u64 {
    let value = response.headers().get(INDEX_HEADER);
    value.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
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
