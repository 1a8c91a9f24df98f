//! A client that sends requests to one gatekeeper and records their outcomes.

use super::Tenant;
use crate::history::{Observation, Outcome, Recorder};
use crate::network::Network;
use crate::schedule::Form;
use fault_harness::client::{ClientConnection, Reply};
use fault_harness::wire;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time for which a client waits for an answer, much longer than the checked bound for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a connect. On loopback, only a connect over a cut link takes longer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// One in this many requests is large.
const LARGE_REQUEST_EVERY: u64 = 5;
const LARGE_REQUEST_UNITS: f64 = 4.0;
const SMALL_REQUEST_UNITS: f64 = 1.0;

/// Settings of all clients of a site.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Deployment form of the gatekeepers, which determines the protocol.
    pub form: Form,
    /// Deadline of a request in ms.
    pub deadline_ms: u64,
    /// Number of gatekeepers that share each tenant's load.
    pub gatekeepers: usize,
    /// Id of the next request, shared by all clients so that ids are unique in the site.
    pub next_request_id: Arc<AtomicU64>,
}

/// The client received no answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NoAnswer {
    /// The attempt used a connection of earlier requests, which may have been closed before the attempt arrived.
    on_reused_connection: bool,
}

/// A client of one gatekeeper. It reuses one connection.
pub struct Client {
    settings: ClientSettings,
    gatekeeper: String,
    address: SocketAddr,
    network: Network,
    recorder: Recorder,
    connection: Option<ClientConnection>,
}

impl Client {
    /// Creates a client of the gatekeeper at this address, without a connection.
    pub fn new(
        settings: &ClientSettings,
        gatekeeper: &str,
        address: SocketAddr,
        network: &Network,
        recorder: &Recorder,
    ) -> Self {
        Self {
            settings: settings.clone(),
            gatekeeper: gatekeeper.to_owned(),
            address,
            network: network.clone(),
            recorder: recorder.clone(),
            connection: None,
        }
    }

    /// Sends one request, waits for its outcome, and records both.
    pub fn send_request(&mut self, tenant: &Tenant) -> Outcome {
        let request_id = self.settings.next_request_id.fetch_add(1, Ordering::Relaxed);
        let is_large = request_id.is_multiple_of(LARGE_REQUEST_EVERY);
        let units = if is_large { LARGE_REQUEST_UNITS } else { SMALL_REQUEST_UNITS };
        self.recorder.record(Observation::RequestSent {
            request_id,
            tenant: tenant.name.to_owned(),
            units,
            gatekeeper: self.gatekeeper.clone(),
        });
        let mut outcome = self.attempt(request_id, tenant, units);
        // The gatekeeper may have closed the reused connection before the request arrived: it is sent once more, on a new one.
        if outcome == Err(NoAnswer { on_reused_connection: true }) {
            outcome = self.attempt(request_id, tenant, units);
        }
        let outcome = outcome.unwrap_or(Outcome::Unanswered);
        self.recorder.record(Observation::RequestEnded { request_id, outcome });
        outcome
    }

    fn attempt(&mut self, request_id: u64, tenant: &Tenant, units: f64) -> Result<Outcome, NoAnswer> {
        let on_reused_connection = self.connection.is_some();
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match ClientConnection::open(self.address, CONNECT_TIMEOUT) {
                Ok(connection) => connection,
                Err(_) => return Ok(Outcome::NotAccepted),
            },
        };
        let local_address = connection.local_address();
        let reply = match connection.send(&self.request(request_id, tenant, units)) {
            Ok(()) => self.read_outcome(&mut connection, request_id),
            Err(_) => Reply::Closed,
        };
        match reply {
            Reply::Complete(outcome) => {
                self.connection = Some(connection);
                Ok(outcome)
            }
            Reply::Excess => Ok(Outcome::Foreign),
            Reply::Closed | Reply::Late => {
                if local_address.is_ok_and(|address| self.network.was_refused(address)) {
                    return Ok(Outcome::NotAccepted);
                }
                Err(NoAnswer { on_reused_connection })
            }
        }
    }

    fn request(&self, request_id: u64, tenant: &Tenant, units: f64) -> Vec<u8> {
        match self.settings.form {
            Form::Appliance => {
                let path = if units > SMALL_REQUEST_UNITS { "/loans/history" } else { "/loans" };
                let name = tenant.name;
                format!("GET {path} HTTP/1.1\r\nHost: a\r\nX-Lender: {name}\r\nX-Op: {request_id}\r\n\r\n")
                    .into_bytes()
            }
            Form::Platform => {
                let fields = format!(
                    "c=lookup,t={},d={},units={units},spread={},first=0",
                    tenant.plan, self.settings.deadline_ms, self.settings.gatekeepers
                );
                let (tenant_id, request_id) = (format!("{:016x}", tenant.id), format!("{request_id:016x}"));
                wire::resp_command(&["SVC.QUERY", &tenant_id, &request_id, &fields])
            }
        }
    }

    fn read_outcome(&self, connection: &mut ClientConnection, request_id: u64) -> Reply<Outcome> {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        match self.settings.form {
            Form::Appliance => {
                let response = connection.read_reply(deadline, |bytes| wire::read_http_message(bytes));
                let id = request_id.to_string();
                response.map(|it| Outcome::of_http_response(it.target_or_status(), &it.body, &id))
            }
            Form::Platform => {
                let reply = connection.read_reply(deadline, |bytes| wire::read_resp_reply(bytes));
                reply.map(|text| Outcome::of_resp_reply(&text, &format!("{request_id:016x}")))
            }
        }
    }
}
