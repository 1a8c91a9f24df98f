//! Clients. Most send a request and wait for its answer. At the rates that the faults set, they disconnect early, never complete
//! a request, or set a very short deadline.

use crate::gatekeeper::Gatekeeper;
use crate::history::{PartialRequest, Recorder, Refusal, RequestNumber, RequestRecord};
use crate::settings::{Effect, MAX_UNITS, Settings, plan_name};
use fault_harness::client::{ClientConnection, Reply};
use fault_harness::outcome::Outcome;
use fault_harness::wire;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time that a client waits after the deadline of a request before it counts the request as unanswered.
pub const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Maximum time that a client waits for an error or a close after it has sent an incomplete request.
const PARTIAL_TIMEOUT: Duration = Duration::from_millis(3_600);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause of a client after a failed connect.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// Mean pause between two requests of a client, in milliseconds.
const MEAN_PAUSE_MS: f64 = 55.0;
/// A client opens a new connection once in this many requests on average.
const REQUESTS_PER_CONNECTION: u32 = 6;
/// Range of very short deadlines, in milliseconds.
const SHORT_DEADLINES_MS: std::ops::Range<u64> = 2..60;
/// Number of requests to which a rate in [`Behaviour`] refers.
const RATE_SCALE: u64 = 1_000;

/// How all clients of a site behave. Faults change the rates of misbehaviour, which are numbers out of 1,000 requests.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// Rate of requests whose client disconnects before the answer.
    pub disconnecting: AtomicU64,
    /// Rate of requests that are never completed.
    pub partial: AtomicU64,
    /// Rate of requests with a very short deadline.
    pub short_deadlines: AtomicU64,
    /// Whether clients stop, as the schedule has ended.
    pub is_over: AtomicBool,
}

/// A client that sends requests to one gatekeeper, one at a time.
pub struct Client {
    /// The gatekeeper that the client sends requests to.
    pub gatekeeper: Arc<Gatekeeper>,
    /// The settings of the site, from which the client draws classes and tenants.
    pub settings: Arc<Settings>,
    /// Rates of misbehaviour, shared by all clients.
    pub behaviour: Arc<Behaviour>,
    /// The next serial number of a request, shared by the clients of the gatekeeper.
    pub serials: Arc<AtomicU32>,
    /// Collects the records of the client's requests.
    pub recorder: Recorder,
    /// Draws the client's pauses, requests and misbehaviour.
    pub random: fastrand::Rng,
}

/// An open connection of a client.
struct Connection {
    stream: ClientConnection,
    /// Number of requests that have ended on the connection.
    answered: u32,
}

/// A request that is encoded and not yet sent.
struct PreparedRequest {
    number: RequestNumber,
    class: usize,
    tenant: usize,
    units: f64,
    deadline: Duration,
    bytes: Vec<u8>,
}

impl Client {
    /// Sends requests until the schedule is over.
    pub fn run(mut self) {
        let mut connection = None;
        while !self.behaviour.is_over.load(Ordering::Relaxed) {
            let pause = -MEAN_PAUSE_MS * (1.0 - self.random.f64()).ln();
            std::thread::sleep(Duration::from_micros((pause * 1_000.0) as u64));
            if self.random.u32(..REQUESTS_PER_CONNECTION) == 0 {
                connection = None;
            }
            connection = self.send_one(connection);
        }
    }

    /// Draws whether a request misbehaves in the way whose rate is selected.
    fn draw_misbehaviour(&mut self, rate: impl Fn(&Behaviour) -> &AtomicU64) -> bool {
        let rate = rate(&self.behaviour).load(Ordering::Relaxed);
        self.random.u64(..RATE_SCALE) < rate
    }

    /// Sends one request. Returns the connection if it can be reused.
    fn send_one(&mut self, connection: Option<Connection>) -> Option<Connection> {
        let prepared = self.prepare_request();
        let mut connection = match connection {
            Some(connection) => connection,
            None => self.connect()?,
        };
        if self.draw_misbehaviour(|behaviour| &behaviour.partial) {
            self.send_part(&mut connection, &prepared);
            return None;
        }
        let is_first = connection.answered == 0;
        let disconnect_after =
            self.draw_misbehaviour(|behaviour| &behaviour.disconnecting).then(|| self.random.f64());
        let disconnect_after = disconnect_after
            .map(|fraction| prepared.deadline.min(Duration::from_millis(250)).mul_f64(fraction));
        let mut record = self.exchange(&mut connection, &prepared, disconnect_after)?;
        record.is_first_on_connection = is_first;
        if record.outcome == Outcome::Closed && !is_first {
            // The gatekeeper closed the idle connection while the request was sent, so the client sends the request again on a
            // new connection.
            if let Some(mut new_connection) = self.connect()
                && let Some(mut resent) = self.exchange(&mut new_connection, &prepared, None)
            {
                resent.is_first_on_connection = true;
                resent.was_resent = true;
                connection = new_connection;
                record = resent;
            }
        }
        let is_reusable = matches!(record.outcome, Outcome::Served | Outcome::Rejected | Outcome::Failed);
        self.recorder.record(|history| history.requests.push(record));
        connection.answered += 1;
        is_reusable.then_some(connection)
    }

    fn prepare_request(&mut self) -> PreparedRequest {
        let serial = self.serials.fetch_add(1, Ordering::Relaxed);
        let number = RequestNumber::new(self.gatekeeper.index, serial);
        let class = self.random.usize(..self.settings.classes.len());
        let tenant = self.draw_tenant();
        let units = (self.random.u32(1..=MAX_UNITS as u32)).into();
        let usual_deadline = self.settings.classes[class].deadline;
        let is_short = self.draw_misbehaviour(|behaviour| &behaviour.short_deadlines);
        let deadline = if is_short {
            Duration::from_millis(self.random.u64(SHORT_DEADLINES_MS))
        } else {
            usual_deadline
        };
        let bytes = self.encode(number, class, tenant, units, deadline);
        PreparedRequest { number, class, tenant, units, deadline, bytes }
    }

    fn draw_tenant(&mut self) -> usize {
        let mut remaining = self.random.f64();
        let shares = self.settings.tenants.iter().map(|tenant| tenant.request_share);
        let found = shares.enumerate().find(|(_, share)| {
            remaining -= share;
            remaining < 0.0
        });
        found.map_or(self.settings.tenants.len() - 1, |(index, _)| index)
    }

    fn encode(
        &self,
        number: RequestNumber,
        class: usize,
        tenant: usize,
        units: f64,
        deadline: Duration,
    ) -> Vec<u8> {
        let gatekeepers = self.settings.gatekeepers;
        let (class, plan) = (&self.settings.classes[class], plan_name(tenant));
        let key = match class.effect {
            Effect::Keyed { .. } => format!("k={},", number.request_id()),
            Effect::Idempotent | Effect::Unsafe => String::new(),
        };
        let fields = format!(
            "c={},t={plan},d={},{key}units={units},spread={gatekeepers},first=0",
            class.name,
            deadline.as_millis()
        );
        let tenant = format!("{:016x}", self.settings.tenants[tenant].number);
        let id = number.request_id();
        match class.effect {
            Effect::Idempotent => wire::resp_command(&["SVC.QUERY", &tenant, &id, &fields]),
            _ => wire::resp_command(&["SVC.SUBMIT", &tenant, &id, &fields, "body"]),
        }
    }

    /// Connects to the gatekeeper. Records a refusal if the gatekeeper should have accepted the connection.
    fn connect(&self) -> Option<Connection> {
        let should_accept = self.gatekeeper.accepts_connections();
        match ClientConnection::open(self.gatekeeper.address, CONNECT_TIMEOUT) {
            Ok(stream) => Some(Connection { stream, answered: 0 }),
            Err(_) => {
                if should_accept && self.gatekeeper.accepts_connections() {
                    let refusal = Refusal { at: self.recorder.now(), gatekeeper: self.gatekeeper.index };
                    self.recorder.record(|history| history.refusals.push(refusal));
                }
                std::thread::sleep(REFUSED_PAUSE);
                None
            }
        }
    }

    /// Sends a request and waits for its answer, or disconnects after `disconnect_after`. None if the connection ended before the
    /// request was written.
    fn exchange(
        &self,
        connection: &mut Connection,
        prepared: &PreparedRequest,
        disconnect_after: Option<Duration>,
    ) -> Option<RequestRecord> {
        let stream = &mut connection.stream;
        stream.send(&prepared.bytes).ok()?;
        let sent = self.recorder.now();
        let mut disconnected = None;
        let mut reply = Reply::Late;
        if let Some(time) = disconnect_after {
            reply = read_reply(stream, time);
            if reply == Reply::Late {
                stream.close();
                disconnected = Some(self.recorder.now());
            }
        }
        if reply == Reply::Late && disconnected.is_none() {
            reply = read_reply(stream, prepared.deadline + ANSWER_GRACE);
        }
        let outcome = match reply {
            _ if disconnected.is_some() => Outcome::Left,
            Reply::Complete(text) => Outcome::of_resp_reply(&text, &prepared.number.request_id()),
            Reply::Excess => Outcome::Foreign,
            Reply::Closed => Outcome::Closed,
            Reply::Late => Outcome::Unanswered,
        };
        let &PreparedRequest { number, class, tenant, units, deadline, .. } = prepared;
        Some(RequestRecord {
            number,
            class,
            tenant,
            units,
            deadline,
            sent,
            disconnected,
            ended: self.recorder.now(),
            outcome,
            is_first_on_connection: false,
            was_resent: false,
        })
    }

    /// Sends the start of a request and waits for an error or a close.
    fn send_part(&mut self, connection: &mut Connection, prepared: &PreparedRequest) {
        let length = self.random.usize(1..prepared.bytes.len());
        if connection.stream.send(&prepared.bytes[..length]).is_err() {
            return;
        }
        let stopped = self.recorder.now();
        let reply = read_reply(&mut connection.stream, PARTIAL_TIMEOUT);
        let ended = (reply != Reply::Late).then(|| self.recorder.now());
        let partial = PartialRequest { gatekeeper: self.gatekeeper.index, stopped, ended };
        self.recorder.record(|history| history.partial_requests.push(partial));
    }
}

/// Waits up to `timeout` for the reply to a request.
fn read_reply(stream: &mut ClientConnection, timeout: Duration) -> Reply<String> {
    stream.read_reply(Instant::now() + timeout, |bytes| wire::read_resp_reply(bytes))
}
