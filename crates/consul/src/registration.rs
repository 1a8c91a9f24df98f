//! This program's own registration with its agent.

use crate::health_query::client;
use crate::{ConsulConfig, TokenFile};
use catalogue::{Registration, RegistrationOutcome, RegistrationRequest};
use http::percent_encode;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Ends the registration when asked.
#[derive(Debug)]
pub struct RegistrationHandle {
    end: SyncSender<SyncSender<()>>,
}

impl RegistrationHandle {
    /// Takes the registration back; waits for that for a second at most.
    pub fn deregister(&self) {
        let (done, told) = sync_channel(1);
        if self.end.try_send(done).is_ok() {
            let _ = told.recv_timeout(Duration::from_secs(1));
        }
    }
}

/// Registers a service with the first agent of a source and keeps its TTL check passing, on a thread of its own.
///
/// # Errors
///
/// There is no thread to be had.
pub fn register(
    source: ConsulConfig,
    name: String,
    id: String,
    at: SocketAddr,
    ttl: Duration,
) -> std::io::Result<RegistrationHandle> {
    let (end, ends) = sync_channel(1);
    let body = serde_json::json!({
        "ID": id, "Name": name, "Address": at.ip().to_string(), "Port": at.port(),
        "Check": {
            "TTL": format!("{}ms", ttl.as_millis()), "DeregisterCriticalServiceAfter": "10m",
        },
    });
    let run = move || keep(&source, &id, &body.to_string(), ttl, &ends);
    thread::Builder::new().name("register".into()).spawn(run)?;
    Ok(RegistrationHandle { end })
}

fn keep(source: &ConsulConfig, id: &str, body: &str, ttl: Duration, ends: &Receiver<SyncSender<()>>) {
    let (start, agent) = (Instant::now(), client(1));
    let token = TokenFile::new(source.token_file.clone());
    let now = || start.elapsed().as_millis() as u64;
    let mut registration = Registration::new(ttl.as_millis() as u64);
    let tell = |ask: RegistrationRequest| -> RegistrationOutcome {
        let (path, body) = match ask {
            RegistrationRequest::Register => ("/v1/agent/service/register".to_owned(), body),
            RegistrationRequest::Heartbeat => {
                (format!("/v1/agent/check/pass/service:{}", percent_encode(id)), "")
            }
            RegistrationRequest::Deregister => {
                (format!("/v1/agent/service/deregister/{}", percent_encode(id)), "")
            }
        };
        let url = format!("http://{}{path}", source.agents[0]);
        let mut request = agent.put(url).config().timeout_global(Some(TIMEOUT)).build();
        if let Some(token) = token.current() {
            request = request.header("X-Consul-Token", token);
        }
        match request.send(body.as_bytes()).map(|answer| answer.status().as_u16()) {
            Ok(200) => RegistrationOutcome::Accepted,
            // Older agents say 500 for a check that they do not know.
            Ok(404 | 500) => RegistrationOutcome::UnknownCheck,
            _ => RegistrationOutcome::Failed,
        }
    };
    loop {
        if let Some(ask) = registration.next_request(now()) {
            let told = tell(ask);
            match registration.handle_outcome(now(), ask, told) {
                Some(true) => tracing::info!("consul: registered as {id}"),
                Some(false) => tracing::warn!("consul: the agent forgot {id}; it is registered anew"),
                None => {}
            }
        }
        let wait = Duration::from_millis(registration.next_due().saturating_sub(now()).max(1));
        match ends.recv_timeout(wait) {
            Ok(done) => {
                tell(RegistrationRequest::Deregister);
                tracing::info!("consul: {id} is deregistered");
                let _ = done.send(());
                return;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
