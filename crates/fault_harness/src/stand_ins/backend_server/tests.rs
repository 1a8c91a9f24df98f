//! Tests each way to answer requests and to treat idle connections, over real connections.

use super::*;
use crate::client::{ClientConnection, Reply};
use crate::connections::serve_connections;
use crate::sync::lock;
use crate::wait::wait_until;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the service time of a request, and shorter than any wait for a close.
const SILENCE: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const REQUEST: &[&str] = &["SVC.QUERY", "tenant", "00ff", "c=lookup,d=250,units=1"];

/// A site that records the attempts of its backend.
#[derive(Clone, Default)]
struct RecordingBackendSite {
    answer: AnswerMode,
    idle: IdleMode,
    rejects_connections: bool,
    /// Number of calls of `idle_mode`.
    idle_checks: Arc<AtomicUsize>,
    attempts: Arc<Mutex<Vec<(Arrival, AttemptOutcome)>>>,
}

impl RecordingBackendSite {
    fn answering(answer: AnswerMode) -> Self {
        Self { answer, ..Self::default() }
    }

    fn outcomes(&self) -> Vec<AttemptOutcome> {
        lock(&self.attempts).iter().map(|(_, outcome)| *outcome).collect()
    }
}

impl BackendSite for RecordingBackendSite {
    type Attempt = usize;

    fn accepts_requests(&self) -> bool {
        !self.rejects_connections
    }

    fn idle_mode(&self) -> IdleMode {
        self.idle_checks.fetch_add(1, Ordering::Relaxed);
        self.idle
    }

    fn answer_mode(&self, _: &mut fastrand::Rng) -> AnswerMode {
        self.answer
    }

    fn arrived(&self, arrival: Arrival) -> usize {
        let mut attempts = lock(&self.attempts);
        attempts.push((arrival, AttemptOutcome::Open));
        attempts.len() - 1
    }

    fn ended(&self, attempt: &usize, outcome: AttemptOutcome) {
        lock(&self.attempts)[*attempt].1 = outcome;
    }
}

fn connect(protocol: BackendProtocol, site: &RecordingBackendSite) -> ClientConnection {
    let (server, site) = (BackendServer { protocol, clock: ScheduleClock::start() }, site.clone());
    let any_port = ([127, 0, 0, 1], 0).into();
    let address =
        serve_connections(any_port, move |stream| server.serve(&stream, &site)).expect("the server listens");
    ClientConnection::open(address, TIMEOUT).expect("the server accepts the connection")
}

fn read_reply(connection: &mut ClientConnection, timeout: Duration) -> Reply<String> {
    connection.read_reply(Instant::now() + timeout, |bytes| wire::read_resp_reply(bytes))
}

fn call(connection: &mut ClientConnection) -> Reply<String> {
    connection.send(&wire::resp_command(REQUEST)).expect("the bytes are sent");
    read_reply(connection, TIMEOUT)
}

#[test]
fn each_mode_answers_or_ends_the_connection() {
    let complete = |text: &str| Reply::Complete(text.to_owned());
    for (mode, reply, outcome) in [
        (AnswerMode::Serve, complete("00ff"), AttemptOutcome::Served),
        (AnswerMode::Slow(Duration::from_millis(1)), complete("00ff"), AttemptOutcome::Served),
        (AnswerMode::Fail, complete("-ERR failed"), AttemptOutcome::Failed),
        (AnswerMode::Reject, complete("-BUSY"), AttemptOutcome::Rejected),
        (AnswerMode::Truncate, Reply::Closed, AttemptOutcome::Closed),
        (AnswerMode::Close, Reply::Closed, AttemptOutcome::Closed),
        (AnswerMode::Reset, Reply::Closed, AttemptOutcome::Closed),
    ] {
        let site = RecordingBackendSite::answering(mode);
        assert_eq!(call(&mut connect(BackendProtocol::Resp, &site)), reply, "{mode:?}");
        assert_eq!(site.outcomes(), [outcome], "{mode:?}");
    }
}

#[test]
fn an_arrival_has_the_requests_id_its_times_and_the_time_left() {
    let site = RecordingBackendSite::default();
    let mut connection = connect(BackendProtocol::Resp, &site);
    let command = wire::resp_command(REQUEST);
    connection.send(&command[..5]).expect("the bytes are sent");
    std::thread::sleep(2 * SILENCE);
    connection.send(&command[5..]).expect("the bytes are sent");
    assert_eq!(read_reply(&mut connection, TIMEOUT), Reply::Complete("00ff".to_owned()));
    let arrival = lock(&site.attempts)[0].0.clone();
    assert_eq!(arrival.request_id, "00ff");
    assert_eq!(arrival.time_left, Some(Duration::from_millis(250)));
    assert!(arrival.arrived - arrival.began >= SILENCE / 2, "{arrival:?}");
}

#[test]
fn an_attempt_whose_client_closes_the_connection_ends() {
    for mode in [AnswerMode::Slow(TIMEOUT), AnswerMode::Hang] {
        let site = RecordingBackendSite::answering(mode);
        let mut connection = connect(BackendProtocol::Resp, &site);
        connection.send(&wire::resp_command(REQUEST)).expect("the bytes are sent");
        let has_arrived = || site.outcomes() == [AttemptOutcome::Open];
        assert!(wait_until(TIMEOUT, POLL_INTERVAL, has_arrived), "{mode:?}");
        assert_eq!(read_reply(&mut connection, SILENCE), Reply::Late, "{mode:?}");
        assert_eq!(site.outcomes(), [AttemptOutcome::Open], "{mode:?}");
        connection.close();
        let has_ended = || site.outcomes() == [AttemptOutcome::Closed];
        assert!(wait_until(TIMEOUT, POLL_INTERVAL, has_ended), "{mode:?}");
    }
}

/// Returns a connection that has been idle after an answer for long enough to be treated as idle.
fn idle_connection(idle: IdleMode) -> ClientConnection {
    let site = RecordingBackendSite { idle, ..RecordingBackendSite::default() };
    let mut connection = connect(BackendProtocol::Resp, &site);
    assert_eq!(call(&mut connection), Reply::Complete("00ff".to_owned()), "{idle:?}");
    let is_idle = || site.idle_checks.load(Ordering::Relaxed) > 0;
    assert!(wait_until(TIMEOUT, POLL_INTERVAL, is_idle), "{idle:?}");
    connection
}

#[test]
fn an_idle_connection_is_closed_or_reset() {
    for idle in [IdleMode::Close, IdleMode::Reset] {
        let mut connection = idle_connection(idle);
        // Discards the first answer. The send fails if the connection has already ended.
        let _ = connection.send(b"");
        assert_eq!(read_reply(&mut connection, TIMEOUT), Reply::Closed, "{idle:?}");
    }
}

#[test]
fn an_idle_connection_is_kept_or_never_answered_again() {
    assert_eq!(call(&mut idle_connection(IdleMode::Keep)), Reply::Complete("00ff".to_owned()));
    let mut unanswered = idle_connection(IdleMode::Forget);
    unanswered.send(&wire::resp_command(REQUEST)).expect("the bytes are sent");
    assert_eq!(read_reply(&mut unanswered, SILENCE), Reply::Late);
}

#[test]
fn a_connection_may_be_closed_before_its_first_request() {
    let site = RecordingBackendSite { rejects_connections: true, ..RecordingBackendSite::default() };
    let mut connection = connect(BackendProtocol::Resp, &site);
    assert_eq!(read_reply(&mut connection, TIMEOUT), Reply::Closed);
}

#[test]
fn an_http_health_check_is_answered_and_not_recorded_as_an_attempt() {
    let site = RecordingBackendSite::default();
    let mut connection = connect(BackendProtocol::Http, &site);
    let mut body = |request: &[u8]| {
        connection.send(request).expect("the bytes are sent");
        let response =
            connection.read_reply(Instant::now() + TIMEOUT, |bytes| wire::read_http_message(bytes));
        response.map(|message| message.body)
    };
    assert_eq!(body(b"GET /health HTTP/1.1\r\n\r\n"), Reply::Complete(Vec::new()));
    assert_eq!(site.outcomes(), []);
    assert_eq!(body(b"GET /loans HTTP/1.1\r\nX-Op: 7\r\n\r\n"), Reply::Complete(b"7".to_vec()));
    assert_eq!(site.outcomes(), [AttemptOutcome::Served]);
}
