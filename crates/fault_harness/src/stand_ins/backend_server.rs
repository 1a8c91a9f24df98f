//! The backend: it reads requests, works on each for a few milliseconds, and answers or fails as its site says.

use crate::clock::ScheduleClock;
use crate::connections::{is_temporary, keep_silent, reset_on_close};
use crate::wire;
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Service time of a request, in microseconds.
const WORK_US: Range<u64> = 2_000..9_000;
/// Time without a request after which a connection counts as idle.
const SHORT_IDLE: Duration = Duration::from_millis(60);
/// Index of the request's id among the arguments of a command.
const REQUEST_ID: usize = 2;
/// Index of the request's fields.
const FIELDS: usize = 3;

/// The protocol that a backend speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendProtocol {
    /// HTTP/1.1, with the request's id in a header.
    Http,
    /// RESP2.
    Resp,
}

/// How a backend answers one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerMode {
    /// With its value.
    #[default]
    Serve,
    /// With its value, after this additional time.
    Slow(Duration),
    /// With an error. The request may have run.
    Fail,
    /// With a rejection. The request never ran.
    Reject,
    /// With the first half of its value and a close.
    Truncate,
    /// Not at all: it closes the connection.
    Close,
    /// Not at all: it resets the connection.
    Reset,
    /// Not at all: the connection stays open.
    Hang,
}

/// What a backend does with a connection that has been idle for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IdleMode {
    /// It keeps the connection.
    #[default]
    Keep,
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
    /// It answers nothing more on the connection.
    Forget,
}

/// How an attempt ended at its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It is in flight.
    Open,
    /// Its value was written.
    Served,
    /// An error was written. The request may have run.
    Failed,
    /// A rejection was written. The request never ran.
    Rejected,
    /// The connection ended first.
    Closed,
}

/// An attempt that has arrived completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id, as text.
    pub request_id: String,
    /// When the first byte was read, on the clock of the server.
    pub began: Duration,
    /// When the last byte was read.
    pub arrived: Duration,
    /// The time left until the deadline, if the attempt states it.
    pub time_left: Option<Duration>,
}

/// What a site decides and records of one backend.
pub trait BackendSite {
    /// Identifies an attempt from its arrival to its end.
    type Attempt;

    /// Whether a connection may bring another request; otherwise it is closed.
    fn accepts_requests(&self) -> bool {
        true
    }
    /// What becomes of idle connections now.
    fn idle_mode(&self) -> IdleMode {
        IdleMode::Keep
    }
    /// How a request that has arrived now is answered.
    fn answer_mode(&self, random: &mut fastrand::Rng) -> AnswerMode;
    /// An attempt has arrived. Health checks are none.
    fn arrived(&self, arrival: Arrival) -> Self::Attempt;
    /// An attempt ends. Called before the answer is written, as the gatekeeper may send the next attempt at once.
    fn ended(&self, _attempt: &Self::Attempt, _outcome: AttemptOutcome) {}
}

/// A request, and the answers to it.
struct Request {
    /// None for a health check.
    arrival: Option<Arrival>,
    success: Vec<u8>,
    failure: Vec<u8>,
    rejection: Vec<u8>,
}

/// Whether a connection is kept after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum After {
    Keep,
    End,
}

/// The server of a backend's connections.
#[derive(Clone, Copy, Debug)]
pub struct BackendServer {
    /// The protocol that it speaks.
    pub protocol: BackendProtocol,
    /// Times arrivals.
    pub clock: ScheduleClock,
}

impl BackendServer {
    /// Serves a connection until it ends.
    pub fn serve(&self, stream: &TcpStream, site: &impl BackendSite) {
        // An error is the end of the connection.
        let _ = self.serve_requests(stream, site);
    }

    fn serve_requests(&self, stream: &TcpStream, site: &impl BackendSite) -> io::Result<()> {
        let mut received = BufReader::new(stream.try_clone()?);
        let mut random = fastrand::Rng::with_seed(self.clock.now().as_nanos() as u64);
        let mut is_first = true;
        while site.accepts_requests() {
            let is_idle = !is_first && received.buffer().is_empty();
            if is_idle && wait_for_request(stream, site)? == After::End {
                break;
            }
            is_first = false;
            let Some(request) = self.read(&mut received, stream)? else { break };
            if answer(stream, request, &mut random, site)? == After::End {
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
        let request_id = arguments.get(REQUEST_ID)?.clone();
        let time_left = arguments.get(FIELDS).and_then(|fields| time_left(fields));
        let success = wire::backend_reply(&request_id);
        Some(Request {
            arrival: Some(Arrival { request_id, began, arrived: self.clock.now(), time_left }),
            success,
            failure: b"-ERR failed\r\n".to_vec(),
            rejection: b"-BUSY\r\n".to_vec(),
        })
    }
}

/// Waits for the next request on a connection. Ends an idle connection as the site says.
fn wait_for_request(stream: &TcpStream, site: &impl BackendSite) -> io::Result<After> {
    stream.set_read_timeout(Some(SHORT_IDLE))?;
    loop {
        match stream.peek(&mut [0]) {
            Ok(0) => return Ok(After::End),
            Ok(_) => return Ok(After::Keep),
            Err(error) if is_temporary(&error) => {}
            Err(error) => return Err(error),
        }
        match site.idle_mode() {
            IdleMode::Keep => continue,
            IdleMode::Close => {}
            IdleMode::Reset => reset_on_close(stream),
            IdleMode::Forget => hang(stream)?,
        }
        return Ok(After::End);
    }
}

/// Works on a request and answers it as the site says.
fn answer(
    stream: &TcpStream,
    request: Request,
    random: &mut fastrand::Rng,
    site: &impl BackendSite,
) -> io::Result<After> {
    let attempt = request.arrival.map(|arrival| site.arrived(arrival));
    let end = |outcome| attempt.iter().for_each(|attempt| site.ended(attempt, outcome));
    let mode = site.answer_mode(random);
    if mode == AnswerMode::Hang {
        hang(stream)?;
        end(AttemptOutcome::Closed);
        return Ok(After::End);
    }
    let work = Duration::from_micros(random.u64(WORK_US));
    let delay = if let AnswerMode::Slow(delay) = mode { delay } else { Duration::ZERO };
    if is_closed_within(stream, work + delay)? {
        end(AttemptOutcome::Closed);
        return Ok(After::End);
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
    Ok(if outcome == AttemptOutcome::Closed { After::End } else { After::Keep })
}

/// Answers nothing until the peer closes the connection.
fn hang(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(None)?;
    keep_silent(&mut stream.try_clone()?);
    Ok(())
}

/// Whether the peer closes the connection within this time.
fn is_closed_within(stream: &TcpStream, time: Duration) -> io::Result<bool> {
    stream.set_read_timeout(Some(time))?;
    match stream.peek(&mut [0]) {
        Ok(count) => Ok(count == 0),
        Err(error) if is_temporary(&error) => Ok(false),
        Err(_) => Ok(true),
    }
}

/// The value `d` of a request's fields: the time until the deadline.
fn time_left(fields: &str) -> Option<Duration> {
    let text = fields.split(',').find_map(|field| field.strip_prefix("d="))?;
    text.parse().ok().map(Duration::from_millis)
}
