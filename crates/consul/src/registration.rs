//! This program's own registration with its agent.

use crate::http_agent::{TOKEN_HEADER, http_agent};
use crate::{ConsulConfig, TokenFile};
use catalogue::{Millis, Registration, RegistrationChange, RegistrationOutcome, RegistrationRequest};
use http::percent_encode;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest time that deregistration may delay the end of the program.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(1);
/// Consul removes a registration whose check has been critical for this long.
const DEREGISTER_CRITICAL_AFTER: &str = "10m";

/// Sent when deregistration is done.
type Done = SyncSender<()>;

/// What this program registers.
#[derive(Clone, Debug)]
pub struct RegistrationConfig {
    /// The name of the service.
    pub name: String,
    /// The id of this instance.
    pub id: String,
    /// Where clients reach it.
    pub address: SocketAddr,
    /// Its check fails this long after the last heartbeat.
    pub ttl: Duration,
}

impl RegistrationConfig {
    /// The body of the request to register.
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

/// A registration that is kept alive.
#[derive(Debug)]
pub struct RegistrationHandle {
    stop: SyncSender<Done>,
}

impl RegistrationHandle {
    /// Deregisters, and waits for that for a second at most.
    pub fn deregister(&self) {
        let (done, is_done) = sync_channel(1);
        if self.stop.try_send(done).is_ok() {
            // After the time-out the check expires by itself.
            let _ = is_done.recv_timeout(DEREGISTER_TIMEOUT);
        }
    }
}

/// Registers a service with the first agent, and keeps its TTL check passing on a thread of its own.
///
/// # Errors
///
/// The thread cannot be started.
pub fn register(
    consul: ConsulConfig,
    registration: RegistrationConfig,
) -> std::io::Result<RegistrationHandle> {
    let (stop, stop_requests) = sync_channel(1);
    let run = move || Registrar::new(&consul, registration).run(&stop_requests);
    thread::Builder::new().name("register".into()).spawn(run)?;
    Ok(RegistrationHandle { stop })
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

    fn run(&self, stop_requests: &Receiver<Done>) {
        let start = Instant::now();
        let now = || start.elapsed().as_millis() as Millis;
        let mut registration = Registration::new(self.ttl.as_millis() as Millis);
        loop {
            if let Some(request) = registration.next_request(now()) {
                let outcome = self.send(request);
                self.log(registration.handle_outcome(now(), request, outcome));
            }
            let wait = Duration::from_millis(registration.next_due().saturating_sub(now()).max(1));
            match stop_requests.recv_timeout(wait) {
                Ok(done) => {
                    self.send(RegistrationRequest::Deregister);
                    tracing::info!(id = self.id, "service deregistered");
                    // Whoever requested it may have given up waiting.
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
        let mut request = self.agent.put(url).config().timeout_global(Some(REQUEST_TIMEOUT)).build();
        if let Some(token) = self.token.current() {
            request = request.header(TOKEN_HEADER, token);
        }
        match request.send(body.as_bytes()).map(|response| response.status().as_u16()) {
            Ok(200) => RegistrationOutcome::Accepted,
            // Older agents respond with 500 for a check that they do not know.
            Ok(404 | 500) => RegistrationOutcome::UnknownCheck,
            _ => RegistrationOutcome::Failed,
        }
    }
}
