//! Clients. Most send a request and wait for its answer; some disconnect early, never complete a request, or set a very short deadline.

use crate::gatekeeper::Gatekeeper;
use crate::history::{PartialRequest, Recorder, Refusal, RequestNumber, RequestRecord};
use crate::settings::{Effect, MAX_UNITS, Settings, plan_name};
use fault_harness::client::{ClientConnection, Reply};
use fault_harness::outcome::Outcome;
use fault_harness::wire;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time after the deadline of a request until its client counts it as unanswered.
pub const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Maximum wait for an error or a close after an incomplete request.
const PARTIAL_TIMEOUT: Duration = Duration::from_millis(3_600);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a refused connection.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// Mean pause between two requests of a client, in milliseconds.
const MEAN_PAUSE_MS: f64 = 55.0;
/// One request in this many is sent on a new connection.
const NEW_CONNECTION_PERIOD: u32 = 6;
/// Deadlines of hurried requests, in milliseconds.
const SHORT_TIMES_MS: std::ops::Range<u64> = 2..60;
/// Rates are out of this many requests.
const RATE_SCALE: u64 = 1_000;

/// Rates of misbehaviour of all clients, out of 1,000 requests.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// Rate of requests whose client disconnects before the answer.
    pub leaving: AtomicU64,
    /// Rate of requests that are never completed.
    pub partial: AtomicU64,
    /// Rate of requests with a very short deadline.
    pub hurried: AtomicU64,
    /// The schedule is over.
    pub is_over: AtomicBool,
}

/// One client of a gatekeeper.
pub struct Client {
    /// Its gatekeeper.
    pub gatekeeper: Arc<Gatekeeper>,
    /// The site's settings.
    pub settings: Arc<Settings>,
    /// How it behaves.
    pub behaviour: Arc<Behaviour>,
    /// Serials of the gatekeeper's requests.
    pub serials: Arc<AtomicU32>,
    /// Records its requests.
    pub recorder: Recorder,
    /// Its random numbers.
    pub random: fastrand::Rng,
}

/// An open connection.
struct Connection {
    link: ClientConnection,
    /// Number of requests that were answered on it.
    answered: u32,
}

/// A request that is drawn and not yet sent.
struct Draft {
    number: RequestNumber,
    class: usize,
    tenant: usize,
    units: f64,
    time: Duration,
    bytes: Vec<u8>,
}

impl Client {
    /// Sends requests until the schedule is over.
    pub fn run(mut self) {
        let mut connection = None;
        while !self.behaviour.is_over.load(Ordering::Relaxed) {
            let pause = -MEAN_PAUSE_MS * (1.0 - self.random.f64()).ln();
            std::thread::sleep(Duration::from_micros((pause * 1_000.0) as u64));
            if self.random.u32(..NEW_CONNECTION_PERIOD) == 0 {
                connection = None;
            }
            connection = self.send_one(connection);
        }
    }

    fn is_drawn(&mut self, rate: impl Fn(&Behaviour) -> &AtomicU64) -> bool {
        let rate = rate(&self.behaviour).load(Ordering::Relaxed);
        self.random.u64(..RATE_SCALE) < rate
    }

    /// Sends one request. Returns the connection if it can be reused.
    fn send_one(&mut self, connection: Option<Connection>) -> Option<Connection> {
        let draft = self.draft();
        let mut connection = match connection {
            Some(connection) => connection,
            None => self.connect()?,
        };
        if self.is_drawn(|behaviour| &behaviour.partial) {
            self.send_part(&mut connection, &draft);
            return None;
        }
        let is_first = connection.answered == 0;
        let leaves_after = self.is_drawn(|behaviour| &behaviour.leaving).then(|| self.random.f64());
        let leaves_after = leaves_after.map(|part| draft.time.min(Duration::from_millis(250)).mul_f64(part));
        let mut record = self.exchange(&mut connection, &draft, leaves_after)?;
        record.is_first_on_connection = is_first;
        if record.outcome == Outcome::Closed && !is_first {
            // The idle connection was closed as the request was sent, so it is sent again on a new one.
            if let Some(mut other) = self.connect()
                && let Some(mut again) = self.exchange(&mut other, &draft, None)
            {
                again.is_first_on_connection = true;
                again.was_resent = true;
                connection = other;
                record = again;
            }
        }
        let goes_on = matches!(record.outcome, Outcome::Served | Outcome::Rejected | Outcome::Failed);
        self.recorder.record(|history| history.requests.push(record));
        connection.answered += 1;
        goes_on.then_some(connection)
    }

    fn draft(&mut self) -> Draft {
        let serial = self.serials.fetch_add(1, Ordering::Relaxed);
        let number = RequestNumber::new(self.gatekeeper.index, serial);
        let class = self.random.usize(..self.settings.classes.len());
        let tenant = self.draw_tenant();
        let units = (self.random.u32(1..=MAX_UNITS as u32)).into();
        let usual = self.settings.classes[class].deadline;
        let is_hurried = self.is_drawn(|behaviour| &behaviour.hurried);
        let time = if is_hurried { Duration::from_millis(self.random.u64(SHORT_TIMES_MS)) } else { usual };
        let bytes = self.encode(number, class, tenant, units, time);
        Draft { number, class, tenant, units, time, bytes }
    }

    fn draw_tenant(&mut self) -> usize {
        let mut left = self.random.f64();
        let parts = self.settings.tenants.iter().map(|tenant| tenant.part);
        let found = parts.enumerate().find(|(_, part)| {
            left -= part;
            left < 0.0
        });
        found.map_or(self.settings.tenants.len() - 1, |(index, _)| index)
    }

    fn encode(
        &self,
        number: RequestNumber,
        class: usize,
        tenant: usize,
        units: f64,
        time: Duration,
    ) -> Vec<u8> {
        let gatekeepers = self.settings.gatekeepers;
        let (class, plan) = (&self.settings.classes[class], plan_name(tenant));
        let key = match class.effect {
            Effect::Keyed { .. } => format!("k={},", number.text()),
            Effect::Idempotent | Effect::Unsafe => String::new(),
        };
        let values = format!(
            "c={},t={plan},d={},{key}units={units},spread={gatekeepers},first=0",
            class.name,
            time.as_millis()
        );
        let tenant = format!("{:016x}", self.settings.tenants[tenant].number);
        let id = number.text();
        match class.effect {
            Effect::Idempotent => wire::resp_command(&["SVC.QUERY", &tenant, &id, &values]),
            _ => wire::resp_command(&["SVC.SUBMIT", &tenant, &id, &values, "body"]),
        }
    }

    fn connect(&self) -> Option<Connection> {
        let could_accept = self.gatekeeper.accepts_connections();
        match ClientConnection::open(self.gatekeeper.address, CONNECT_TIMEOUT) {
            Ok(link) => Some(Connection { link, answered: 0 }),
            Err(_) => {
                if could_accept && self.gatekeeper.accepts_connections() {
                    let refusal = Refusal { at: self.recorder.now(), gatekeeper: self.gatekeeper.index };
                    self.recorder.record(|history| history.refusals.push(refusal));
                }
                std::thread::sleep(REFUSED_PAUSE);
                None
            }
        }
    }

    /// Sends a request and waits for its answer. None if the connection ended before the request was written.
    fn exchange(
        &self,
        connection: &mut Connection,
        draft: &Draft,
        leaves_after: Option<Duration>,
    ) -> Option<RequestRecord> {
        let link = &mut connection.link;
        link.send(&draft.bytes).ok()?;
        let sent = self.recorder.now();
        let mut left = None;
        let mut reply = Reply::Late;
        if let Some(time) = leaves_after {
            reply = read_reply(link, time);
            if reply == Reply::Late {
                link.close();
                left = Some(self.recorder.now());
            }
        }
        if reply == Reply::Late && left.is_none() {
            reply = read_reply(link, draft.time + ANSWER_GRACE);
        }
        let outcome = match reply {
            _ if left.is_some() => Outcome::Left,
            Reply::Complete(text) => Outcome::of_resp_reply(&text, &draft.number.text()),
            Reply::Excess => Outcome::Foreign,
            Reply::Closed => Outcome::Closed,
            Reply::Late => Outcome::Unanswered,
        };
        let &Draft { number, class, tenant, units, time, .. } = draft;
        Some(RequestRecord {
            number,
            class,
            tenant,
            units,
            time,
            sent,
            left,
            ended: self.recorder.now(),
            outcome,
            is_first_on_connection: false,
            was_resent: false,
        })
    }

    /// Sends the start of a request and waits for an error or a close.
    fn send_part(&mut self, connection: &mut Connection, draft: &Draft) {
        let length = self.random.usize(1..draft.bytes.len());
        if connection.link.send(&draft.bytes[..length]).is_err() {
            return;
        }
        let stopped = self.recorder.now();
        let reply = read_reply(&mut connection.link, PARTIAL_TIMEOUT);
        let ended = (reply != Reply::Late).then(|| self.recorder.now());
        let partial = PartialRequest { gatekeeper: self.gatekeeper.index, stopped, ended };
        self.recorder.record(|history| history.partial_requests.push(partial));
    }
}

/// Waits for the reply to a request.
fn read_reply(link: &mut ClientConnection, timeout: Duration) -> Reply<String> {
    link.read_reply(Instant::now() + timeout, |bytes| wire::read_resp_reply(bytes))
}
