//! The server of a stand-in backend: it reads requests, spends a few milliseconds on each, and answers or fails as its site
//! decides.

use crate::clock::ScheduleClock;
use crate::connections::{discard_input, is_temporary, reset_on_close};
use crate::wire;
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Range of the service time of a request, in microseconds.
const SERVICE_TIME_US: Range<u64> = 2_000..9_000;
/// Time without a request after which a connection counts as idle.
const IDLE_THRESHOLD: Duration = Duration::from_millis(60);
/// Index of the request's id among the arguments of a RESP2 command.
const REQUEST_ID_INDEX: usize = 2;
/// Index of the request's fields among the arguments of a RESP2 command.
const FIELDS_INDEX: usize = 3;

/// The protocol that a backend speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendProtocol {
    /// HTTP/1.1, with the request's id in the header `X-Op`.
    Http,
    /// RESP2, with the request's id among the arguments of the command.
    Resp,
}

/// How a backend answers one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerMode {
    /// The backend answers with the request's value.
    #[default]
    Serve,
    /// The backend answers with the request's value after this additional time.
    Slow(Duration),
    /// The backend answers with an error. The request may have run.
    Fail,
    /// The backend answers with a rejection. The request never ran.
    Reject,
    /// The backend sends the first half of the answer and closes the connection.
    Truncate,
    /// The backend closes the connection without an answer.
    Close,
    /// The backend resets the connection without an answer.
    Reset,
    /// The backend never answers and keeps the connection open.
    Hang,
}

/// What a backend does with a connection that has been idle for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IdleMode {
    /// The backend keeps the idle connection and serves it again.
    #[default]
    Keep,
    /// The backend closes the idle connection.
    Close,
    /// The backend resets the idle connection.
    Reset,
    /// The backend keeps the idle connection open and never answers on it again.
    Forget,
}

/// How an attempt ended at its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt is in flight.
    Open,
    /// The request's value was written.
    Served,
    /// An error was written. The request may have run.
    Failed,
    /// A rejection was written. The request never ran.
    Rejected,
    /// The connection ended without a complete answer.
    Closed,
}

/// An attempt that a backend has received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id as it stands on the wire.
    pub request_id: String,
    /// When the first byte was read, by the clock of the server.
    pub began: Duration,
    /// When the last byte was read, by the clock of the server.
    pub arrived: Duration,
    /// The time left until the deadline; none if the attempt does not state it.
    pub time_left: Option<Duration>,
}

/// The part of a site that decides how one backend behaves and records its attempts.
pub trait BackendSite {
    /// Identifies an attempt between the calls of `arrived` and `ended`.
    type Attempt;

    /// Whether the backend reads another request on a connection. If not, the connection is closed.
    fn accepts_requests(&self) -> bool {
        true
    }
    /// What the backend does with a connection that is idle now.
    fn idle_mode(&self) -> IdleMode {
        IdleMode::Keep
    }
    /// How the backend answers a request that has arrived now.
    fn answer_mode(&self, random: &mut fastrand::Rng) -> AnswerMode;
    /// An attempt has arrived. Not called for health checks.
    fn arrived(&self, arrival: Arrival) -> Self::Attempt;
    /// An attempt ends. Called before the answer is written, because the gatekeeper may send the next attempt as soon as it reads
    /// the answer.
    fn ended(&self, _attempt: &Self::Attempt, _outcome: AttemptOutcome) {}
}

/// A request and the bytes of the possible answers to it.
struct Request {
    /// The attempt that the request makes; none for a health check.
    arrival: Option<Arrival>,
    success: Vec<u8>,
    failure: Vec<u8>,
    rejection: Vec<u8>,
}

/// Whether a connection goes on to the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    Continue,
    End,
}

/// Serves the connections of one backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendServer {
    /// Protocol in which requests are read and answers are written.
    pub protocol: BackendProtocol,
    /// The clock that times the arrivals of attempts.
    pub clock: ScheduleClock,
}

impl BackendServer {
    /// Serves a connection until it ends.
    pub fn serve(&self, stream: &TcpStream, site: &impl BackendSite) {
        // An error only means that the connection has ended.
        let _ = self.serve_requests(stream, site);
    }

    fn serve_requests(&self, stream: &TcpStream, site: &impl BackendSite) -> io::Result<()> {
        let mut received = BufReader::new(stream.try_clone()?);
        let mut random = fastrand::Rng::with_seed(self.clock.now().as_nanos() as u64);
        let mut is_first = true;
        while site.accepts_requests() {
            let is_idle = !is_first && received.buffer().is_empty();
            if is_idle && wait_for_request(stream, site)? == NextStep::End {
                break;
            }
            is_first = false;
            let Some(request) = self.read(&mut received, stream)? else { break };
            if answer(stream, request, &mut random, site)? == NextStep::End {
                break;
            }
        }
        Ok(())
    }

    /// Reads one request; none if the connection ends first.
    fn read(&self, received: &mut BufReader<TcpStream>, stream: &TcpStream) -> io::Result<Option<Request>> {
        stream.set_read_timeout(None)?;
        if received.fill_buf()?.is_empty() {
            return Ok(None);
        }
        let began = self.clock.now();
        Ok(match self.protocol {
            BackendProtocol::Http => self.read_http(received, began),
            BackendProtocol::Resp => self.read_resp(received, began),
        })
    }

    fn read_http(&self, received: &mut BufReader<TcpStream>, began: Duration) -> Option<Request> {
        let message = wire::read_http_message(received)?;
        let request_id = message.field("x-op").map(str::to_owned);
        let body = request_id.clone().unwrap_or_default();
        let arrived = self.clock.now();
        let arrival = request_id.map(|request_id| Arrival { request_id, began, arrived, time_left: None });
        Some(Request {
            arrival,
            success: wire::http_message("HTTP/1.1 200 OK", &body),
            failure: wire::http_message("HTTP/1.1 500 No", ""),
            rejection: wire::http_message("HTTP/1.1 503 No", ""),
        })
    }

    fn read_resp(&self, received: &mut BufReader<TcpStream>, began: Duration) -> Option<Request> {
        let arguments = wire::read_resp_command(received)?;
        let request_id = arguments.get(REQUEST_ID_INDEX)?.clone();
        let time_left = arguments.get(FIELDS_INDEX).and_then(|fields| time_left(fields));
        let success = wire::backend_reply(&request_id);
        Some(Request {
            arrival: Some(Arrival { request_id, began, arrived: self.clock.now(), time_left }),
            success,
            failure: b"-ERR failed\r\n".to_vec(),
            rejection: b"-BUSY\r\n".to_vec(),
        })
    }
}

/// Waits for the next request on a connection. Treats an idle connection as the site decides.
fn wait_for_request(stream: &TcpStream, site: &impl BackendSite) -> io::Result<NextStep> {
    stream.set_read_timeout(Some(IDLE_THRESHOLD))?;
    loop {
        match stream.peek(&mut [0]) {
            Ok(0) => return Ok(NextStep::End),
            Ok(_) => return Ok(NextStep::Continue),
            Err(error) if is_temporary(&error) => {}
            Err(error) => return Err(error),
        }
        match site.idle_mode() {
            IdleMode::Keep => continue,
            IdleMode::Close => {}
            IdleMode::Reset => reset_on_close(stream),
            IdleMode::Forget => hang(stream)?,
        }
        return Ok(NextStep::End);
    }
}

/// Spends the service time on a request and answers it as the site decides.
fn answer(
    stream: &TcpStream,
    request: Request,
    random: &mut fastrand::Rng,
    site: &impl BackendSite,
) -> io::Result<NextStep> {
    let attempt = request.arrival.map(|arrival| site.arrived(arrival));
    let end = |outcome| attempt.iter().for_each(|attempt| site.ended(attempt, outcome));
    let mode = site.answer_mode(random);
    if mode == AnswerMode::Hang {
        hang(stream)?;
        end(AttemptOutcome::Closed);
        return Ok(NextStep::End);
    }
    let service_time = Duration::from_micros(random.u64(SERVICE_TIME_US));
    let delay = if let AnswerMode::Slow(delay) = mode { delay } else { Duration::ZERO };
    if is_closed_within(stream, service_time + delay)? {
        end(AttemptOutcome::Closed);
        return Ok(NextStep::End);
    }
    let (bytes, outcome) = match mode {
        AnswerMode::Serve | AnswerMode::Slow(_) => (request.success.as_slice(), AttemptOutcome::Served),
        AnswerMode::Fail => (request.failure.as_slice(), AttemptOutcome::Failed),
        AnswerMode::Reject => (request.rejection.as_slice(), AttemptOutcome::Rejected),
        AnswerMode::Truncate => (&request.success[..request.success.len() / 2], AttemptOutcome::Closed),
        AnswerMode::Close | AnswerMode::Reset | AnswerMode::Hang => (&[][..], AttemptOutcome::Closed),
    };
    if mode == AnswerMode::Reset {
        reset_on_close(stream);
    }
    end(outcome);
    (&mut &*stream).write_all(bytes)?;
    Ok(if outcome == AttemptOutcome::Closed { NextStep::End } else { NextStep::Continue })
}

/// Stays silent until the peer closes the connection.
fn hang(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(None)?;
    discard_input(&mut stream.try_clone()?);
    Ok(())
}

/// Whether the peer closes the connection within `time`. Returns early if the peer sends more bytes.
fn is_closed_within(stream: &TcpStream, time: Duration) -> io::Result<bool> {
    stream.set_read_timeout(Some(time))?;
    match stream.peek(&mut [0]) {
        Ok(count) => Ok(count == 0),
        Err(error) if is_temporary(&error) => Ok(false),
        Err(_) => Ok(true),
    }
}

/// The time until the deadline: the value of the field `d`, in milliseconds.
fn time_left(fields: &str) -> Option<Duration> {
    let text = fields.split(',').find_map(|field| field.strip_prefix("d="))?;
    text.parse().ok().map(Duration::from_millis)
}
