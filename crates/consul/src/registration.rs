//! Registers this process as a service with its Consul agent, in a thread of its own.

use crate::http_agent::{new_http_client, with_timeout_and_token};
use crate::{ConsulConfig, TokenFile};
use catalogue::{Registration, RegistrationChange, RegistrationOutcome, RegistrationRequest};
use http::percent_encode;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};
use timestamps::MonotonicTime;
use ureq::http::StatusCode;

/// Minimum wait between two iterations of the registration loop.
const MIN_WAIT: Duration = Duration::from_millis(1);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for which a shutdown waits for the deregistration.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(1);
/// Consul removes a registration whose check has been critical for this long.
const DEREGISTER_CRITICAL_AFTER: &str = "10m";

/// A request to the registration thread to deregister. `done` acknowledges the deregistration.
struct DeregisterRequest {
    done: SyncSender<()>,
}

/// The name, id, address and TTL of the service instance to register.
#[derive(Clone, Debug)]
pub struct RegistrationConfig {
    /// Name of the service in Consul.
    pub name: String,
    /// Service id of this instance, unique on its agent.
    pub id: String,
    /// The address at which clients reach this instance.
    pub address: SocketAddr,
    /// Time after the last heartbeat at which the TTL check of the service becomes critical.
    pub ttl: Duration,
}

impl RegistrationConfig {
    /// Returns the JSON body of the registration request.
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

/// Handle of the thread that keeps a service registered. When the handle is dropped, the thread ends without deregistering the
/// service.
#[derive(Debug)]
pub struct RegistrationHandle {
    deregister_requests: SyncSender<DeregisterRequest>,
}

impl RegistrationHandle {
    /// Deregisters the service, and waits up to one second for the agent's response.
    pub fn deregister(&self) {
        let (done, acknowledgement) = sync_channel(1);
        if self.deregister_requests.try_send(DeregisterRequest { done }).is_ok() {
            // After a timeout nothing more is done: the TTL check expires, and Consul removes the registration later.
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

/// Sends the registration, the heartbeats and the deregistration of one service instance.
struct Registrar {
    http_client: ureq::Agent,
    agent_address: SocketAddr,
    token: TokenFile,
    id: String,
    body: String,
    ttl: Duration,
}

impl Registrar {
    fn new(consul: &ConsulConfig, registration: RegistrationConfig) -> Self {
        Self {
            http_client: new_http_client(),
            agent_address: consul.agents[0],
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
                    // The sender of the request may have stopped waiting.
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
        let url = format!("http://{}{path}", self.agent_address);
        let request = with_timeout_and_token(self.http_client.put(url), REQUEST_TIMEOUT, &self.token);
        match request.send(body.as_bytes()).map(|response| response.status()) {
            Ok(StatusCode::OK) => RegistrationOutcome::Accepted,
            // Older agents respond to a heartbeat for an unknown check with 500.
            Ok(StatusCode::NOT_FOUND | StatusCode::INTERNAL_SERVER_ERROR) => {
                RegistrationOutcome::UnknownCheck
            }
            _ => RegistrationOutcome::Failed,
        }
    }
}
