//! Registers this process as a service with its agent.

use crate::http_agent::{http_agent, with_timeout_and_token};
use crate::{ConsulConfig, TokenFile};
use catalogue::{Registration, RegistrationChange, RegistrationOutcome, RegistrationRequest};
use http::percent_encode;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};
use timestamps::MonotonicTime;
use ureq::http::StatusCode;

/// Minimum wait between two checks for due requests.
const MIN_WAIT: Duration = Duration::from_millis(1);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum delay of the shutdown by deregistration.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(1);
/// Consul removes a registration whose check has been critical for this long.
const DEREGISTER_CRITICAL_AFTER: &str = "10m";

/// A request to deregister, with the channel for its acknowledgement.
struct DeregisterRequest {
    done: SyncSender<()>,
}

/// The service that is registered.
#[derive(Clone, Debug)]
pub struct RegistrationConfig {
    /// Name of the service.
    pub name: String,
    /// Id of this instance.
    pub id: String,
    /// The address at which clients reach it.
    pub address: SocketAddr,
    /// Time after the last heartbeat at which its TTL check becomes critical.
    pub ttl: Duration,
}

impl RegistrationConfig {
    /// Body of the registration request.
    fn body(&self) -> String {
        let body = serde_json::json!({
            "ID": self.id,
            "Name": self.name,
            "Address": self.address.ip().to_string(),
            "Port": self.address.port(),
            "Check": {
                "TTL": format!("{}ms", self.ttl.as_millis()),
                "DeregisterCriticalServiceAfter": DEREGISTER_CRITICAL_AFTER,
            },
        });
        body.to_string()
    }
}

/// Handle of the thread that keeps a registration alive.
#[derive(Debug)]
pub struct RegistrationHandle {
    deregister_requests: SyncSender<DeregisterRequest>,
}

impl RegistrationHandle {
    /// Deregisters, and waits up to one second for the agent's response.
    pub fn deregister(&self) {
        let (done, acknowledgement) = sync_channel(1);
        if self.deregister_requests.try_send(DeregisterRequest { done }).is_ok() {
            // After a time-out the TTL check expires, and Consul removes the registration.
            let _ = acknowledgement.recv_timeout(DEREGISTER_TIMEOUT);
        }
    }
}

/// Starts a thread that registers a service with the first agent and sends the heartbeats of its TTL check.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn register(
    consul: ConsulConfig,
    registration: RegistrationConfig,
) -> std::io::Result<RegistrationHandle> {
    let (deregister_requests, receiver) = sync_channel(1);
    let run = move || Registrar::new(&consul, registration).run(&receiver);
    thread::Builder::new().name("register".into()).spawn(run)?;
    Ok(RegistrationHandle { deregister_requests })
}

/// Sends the requests of one registration.
struct Registrar {
    agent: ureq::Agent,
    address: SocketAddr,
    token: TokenFile,
    id: String,
    body: String,
    ttl: Duration,
}

impl Registrar {
    fn new(consul: &ConsulConfig, registration: RegistrationConfig) -> Self {
        Self {
            agent: http_agent(),
            address: consul.agents[0],
            token: TokenFile::new(consul.token_file.clone()),
            body: registration.body(),
            id: registration.id,
            ttl: registration.ttl,
        }
    }

    fn run(&self, deregister_requests: &Receiver<DeregisterRequest>) {
        let start = Instant::now();
        let now = || MonotonicTime::ZERO + start.elapsed();
        let mut registration = Registration::new(self.ttl);
        loop {
            if let Some(request) = registration.next_request(now()) {
                let outcome = self.send(request);
                self.log(registration.handle_outcome(now(), request, outcome));
            }
            let wait = registration.next_request_at().saturating_since(now()).max(MIN_WAIT);
            match deregister_requests.recv_timeout(wait) {
                Ok(DeregisterRequest { done }) => {
                    self.send(RegistrationRequest::Deregister);
                    tracing::info!(id = self.id, "service deregistered");
                    // The requester may have timed out.
                    let _ = done.send(());
                    return;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn log(&self, change: Option<RegistrationChange>) {
        let id = &self.id;
        match change {
            Some(RegistrationChange::Registered) => tracing::info!(id, "service registered"),
            Some(RegistrationChange::Lost) => {
                tracing::warn!(id, "service registration lost, registering again");
            }
            None => {}
        }
    }

    fn send(&self, request: RegistrationRequest) -> RegistrationOutcome {
        let id = percent_encode(&self.id);
        let (path, body) = match request {
            RegistrationRequest::Register => ("/v1/agent/service/register".to_owned(), self.body.as_str()),
            RegistrationRequest::Heartbeat => (format!("/v1/agent/check/pass/service:{id}"), ""),
            RegistrationRequest::Deregister => (format!("/v1/agent/service/deregister/{id}"), ""),
        };
        let url = format!("http://{}{path}", self.address);
        let request = with_timeout_and_token(self.agent.put(url), REQUEST_TIMEOUT, &self.token);
        match request.send(body.as_bytes()).map(|response| response.status()) {
            Ok(StatusCode::OK) => RegistrationOutcome::Accepted,
            // Older agents respond with 500 for an unknown check.
            Ok(StatusCode::NOT_FOUND | StatusCode::INTERNAL_SERVER_ERROR) => {
                RegistrationOutcome::UnknownCheck
            }
            _ => RegistrationOutcome::Failed,
        }
    }
}
