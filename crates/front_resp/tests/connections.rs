//! The answers and closes that clients get from a front, on real sockets.

use exchange::{
    AnswerBody, Attempt, AttemptEnd, AttemptId, BackendId, Backends, Clock, Exchange, StreamBudget,
    StreamWriter, open_stream,
};
use front_resp::{ClassRule, Front, PlanRule, RequestRules, RespExchange};
use link::{Connection, Listener};
use policy::{BackendEntry, ListKind, Micros, Outcome, Plan, RequestClass, Settings};
use resp::RequestCommand;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

const MEMORY_BYTES: usize = 64 << 20;
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for an expected answer or close.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Deadline of the class, longer than any test waits.
const REQUEST_TIMEOUT: Micros = 20_000_000;
/// Time without progress after which a stream counts as blocked by its client.
const BLOCKED_TIME: Duration = Duration::from_millis(300);
/// Time limit of the protocol for the error to a command that is never complete.
const INCOMPLETE_COMMAND_LIMIT: Duration = Duration::from_secs(3);

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: &[u8] = b"+PONG\r\n";

/// A front that serves on loopback.
struct Fixture {
    exchange: Arc<RespExchange>,
    front: Arc<Front>,
    listener: Arc<Listener>,
    address: SocketAddr,
}

/// A backend side whose attempts the test answers.
struct AttemptRecorder(Mutex<mpsc::Sender<AttemptId>>);

impl Backends<RequestCommand> for AttemptRecorder {
    fn start(&self, attempt: Attempt<RequestCommand>) {
        let sender = self.0.lock().expect("the lock is not poisoned");
        sender.send(attempt.id).expect("the test receives the attempt");
    }

    fn cancel(&self, _: AttemptId) {}

    fn cancel_unwritten(&self, _: AttemptId) {}

    fn expire_unwritten(&self, _: AttemptId) {}
}

impl Fixture {
    /// Starts a front without any backend.
    fn start(max_connections: usize) -> Self {
        link::set_up();
        let class = RequestClass { deadline: REQUEST_TIMEOUT, ..RequestClass::default() };
        let settings = Settings {
            classes: vec![class],
            plans: vec![Plan { rate: 100.0, burst: 100.0, ..Plan::default() }],
            ..Settings::default()
        };
        let exchange: Arc<RespExchange> = Exchange::new(settings, 1, Clock::start()).expect("valid settings");
        let front = Front::new(exchange.clone(), rules(), MEMORY_BYTES, move || max_connections);
        front.set_ready();
        let listener = Listener::bind("127.0.0.1:0".parse().expect("a valid address")).expect("a free port");
        let listener = Arc::new(listener);
        let address = listener.local_address().expect("the listener is bound");
        let (accepting, accepted_from) = (front.clone(), listener.clone());
        link::spawn(move || accepting.accept_connections(&accepted_from));
        let swept = Arc::downgrade(&front);
        std::thread::spawn(move || {
            while let Some(front) = swept.upgrade() {
                front.sweep();
                std::thread::sleep(SWEEP_INTERVAL);
            }
        });
        Self { exchange, front, listener, address }
    }

    /// Starts a front with one backend, whose attempts the receiver gets.
    fn start_with_backend() -> (Self, mpsc::Receiver<AttemptId>) {
        let fixture = Self::start(8);
        let (sender, attempts) = mpsc::channel();
        fixture.exchange.connect(Arc::new(AttemptRecorder(Mutex::new(sender))), None);
        let entry = BackendEntry { id: BackendId(1), ..BackendEntry::default() };
        fixture.exchange.update_endpoints(ListKind::Full, vec![entry]);
        (fixture, attempts)
    }

    /// Answers an attempt with these bytes.
    fn answer(&self, attempt: AttemptId, answer: AnswerBody) {
        let is_streaming = matches!(answer, AnswerBody::Stream(_));
        let end = AttemptEnd { outcome: Outcome::Ok, answer: Some(answer), load: Vec::new(), is_streaming };
        self.exchange.attempt_ended(attempt, end);
    }

    /// Answers an attempt with a stream, and returns its writing end.
    fn answer_with_stream(&self, attempt: AttemptId) -> StreamWriter {
        let (writer, reader) = open_stream(&StreamBudget::new(1 << 20), Box::new(|| {}));
        self.answer(attempt, AnswerBody::Stream(reader));
        writer
    }

    fn connect(&self) -> TcpStream {
        let client = TcpStream::connect(self.address).expect("the listener accepts connections");
        client.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a valid timeout");
        client
    }

    /// Connects a client, and waits for the answer to its `PING`.
    fn connect_and_ping(&self) -> TcpStream {
        let mut client = self.connect();
        client.write_all(PING).expect("the connection is open");
        assert_eq!(read_bytes(&mut client, PONG.len()), PONG);
        client
    }
}

fn rules() -> RequestRules {
    RequestRules {
        classes: vec![ClassRule {
            name: "lookup".into(),
            number: 0,
            is_idempotent: true,
            deadline_ms: 20_000,
        }],
        plans: vec![PlanRule { name: "team".into(), number: 0 }],
        gatekeeper_count: 1,
        max_units: None,
    }
}

fn command(arguments: &[&str]) -> Vec<u8> {
    let arguments: Vec<&[u8]> = arguments.iter().map(|argument| argument.as_bytes()).collect();
    let mut bytes = Vec::new();
    resp::put_command(&mut bytes, &arguments);
    bytes
}

fn read_bytes(client: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    client.read_exact(&mut bytes).expect("an answer is received");
    bytes
}

/// Reads until the front closes the connection.
fn read_until_close(client: &mut TcpStream) -> String {
    let mut text = String::new();
    client.read_to_string(&mut text).expect("the connection is closed gracefully");
    text
}

fn wait_until(is_reached: impl Fn() -> bool) {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    while !is_reached() {
        assert!(Instant::now() < deadline, "the expected state was not reached in time");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn answers_pipelined_commands_in_their_order() {
    let fixture = Fixture::start(8);
    let mut client = fixture.connect();
    let request = ["SVC.QUERY", "00000000b4d65521", "9b1f", "c=lookup,t=team,d=200,units=1"];
    let input = [PING, &command(&["SELECT", "0"]), &command(&request), &command(&["GET"]), PING].concat();
    client.write_all(&input).expect("the connection is open");
    let expected = b"+PONG\r\n+OK\r\n-BUSY\r\n-ERR unknown command\r\n+PONG\r\n";
    assert_eq!(
        String::from_utf8_lossy(&read_bytes(&mut client, expected.len())),
        String::from_utf8_lossy(expected)
    );
}

#[test]
fn closes_a_connection_after_the_error_to_a_malformed_command() {
    let fixture = Fixture::start(8);
    let mut client = fixture.connect();
    client.write_all(&[PING, b"no command\r\n", PING].concat()).expect("the connection is open");
    assert_eq!(read_until_close(&mut client), "+PONG\r\n-ERR an unknown type of element\r\n");
}

#[test]
fn answers_a_command_that_is_never_complete_with_an_error_in_time() {
    let fixture = Fixture::start(8);
    let mut client = fixture.connect();
    let started_at = Instant::now();
    client.write_all(&PING[..6]).expect("the connection is open");
    assert_eq!(read_until_close(&mut client), "-ERR the command did not become whole\r\n");
    assert!(started_at.elapsed() < INCOMPLETE_COMMAND_LIMIT, "{:?}", started_at.elapsed());
}

#[test]
fn closes_a_connection_that_never_sends_a_command() {
    let fixture = Fixture::start(8);
    let mut silent = fixture.connect();
    let _in_use = fixture.connect_and_ping();
    assert_eq!(read_until_close(&mut silent), "");
    assert_eq!(fixture.front.open_connections(), 1, "the connection that has sent a command stays open");
}

#[test]
fn evicts_unused_connections_for_new_ones_at_the_limit() {
    let fixture = Fixture::start(2);
    let mut unused: Vec<TcpStream> = (0..2).map(|_| fixture.connect_and_ping()).collect();
    fixture.connect_and_ping();
    assert_eq!(read_until_close(&mut unused[0]), "", "the longest idle connection is evicted");
}

#[test]
fn a_drain_closes_connections_between_requests_and_completes_a_command_that_has_begun() {
    let fixture = Fixture::start(8);
    let mut idle = fixture.connect_and_ping();
    let mut busy = fixture.connect_and_ping();
    busy.write_all(&PING[..6]).expect("the connection is open");
    // The front reads the first part before it drains.
    std::thread::sleep(Duration::from_millis(100));
    fixture.front.drain();
    assert_eq!(read_until_close(&mut idle), "");
    busy.write_all(&PING[6..]).expect("the connection is open");
    assert_eq!(read_until_close(&mut busy), "+PONG\r\n");
}

#[test]
fn hands_a_connection_over_with_its_incomplete_command_and_the_successor_answers_it() {
    let predecessor = Fixture::start(8);
    let mut client = predecessor.connect_and_ping();
    client.write_all(&PING[..6]).expect("the connection is open");
    // The front reads the first part before it hands over.
    std::thread::sleep(Duration::from_millis(100));
    let (sender, handed_over) = mpsc::channel();
    predecessor.front.hand_over_connections(Arc::new(move |socket, incomplete| {
        sender.send((socket, incomplete)).expect("the test receives the connection");
    }));
    let (socket, incomplete) =
        handed_over.recv_timeout(ANSWER_TIMEOUT).expect("the connection is handed over");
    assert_eq!(incomplete, &PING[..6]);
    // The predecessor releases the connection right after it has passed on the socket.
    wait_until(|| predecessor.front.open_connections() == 0);

    let successor = Fixture::start(8);
    successor.front.adopt(Connection::new(socket).expect("the socket is registered for events"), incomplete);
    client.write_all(&PING[6..]).expect("the connection is open");
    assert_eq!(read_bytes(&mut client, PONG.len()), PONG);
}

#[test]
fn serves_again_after_a_successor_has_failed() {
    let fixture = Fixture::start(8);
    let mut handed_over = fixture.connect_and_ping();
    // As in a hot restart: otherwise new connections would be accepted and handed over too.
    fixture.listener.set_paused(true);
    fixture.front.hand_over_connections(Arc::new(|socket, _| drop(socket)));
    assert!(fixture.front.is_handing_over());
    assert_eq!(read_until_close(&mut handed_over), "", "the successor has closed the connection");
    // The worker has closed that connection after the pause, so the accept loop leaves this one in the backlog.
    let mut waiting = fixture.connect();
    fixture.front.resume();
    fixture.listener.set_paused(false);
    assert!(!fixture.front.is_handing_over());
    waiting.write_all(PING).expect("the connection is open");
    assert_eq!(read_bytes(&mut waiting, PONG.len()), PONG);
}

/// A request with this id.
fn query(id: &str) -> Vec<u8> {
    command(&["SVC.QUERY", "00000000b4d65521", id, "c=lookup,t=team,d=20000,units=1"])
}

/// Regression: the end of a streamed answer that was complete before its turn came stayed in the front until the client sent
/// something or closed its connection.
#[test]
fn a_streamed_answer_behind_another_command_is_sent_to_its_end() {
    const STREAM_BYTES: usize = 60_000;
    let (fixture, attempts) = Fixture::start_with_backend();
    let mut client = fixture.connect();
    client.write_all(&[query("1"), query("2")].concat()).expect("the connection is open");
    let [first, second] = [(); 2].map(|()| attempts.recv_timeout(ANSWER_TIMEOUT).expect("an attempt"));
    let writer = fixture.answer_with_stream(second);
    writer.write(&[b'x'; STREAM_BYTES]);
    writer.finish();
    fixture.answer(first, AnswerBody::Complete(PONG.to_vec()));
    assert_eq!(read_bytes(&mut client, PONG.len()), PONG);
    assert!(read_bytes(&mut client, STREAM_BYTES) == [b'x'; STREAM_BYTES]);
}

/// Regression: the same for an answer whose end arrived while the client's socket was full.
#[test]
fn a_streamed_answer_is_sent_to_its_end_when_a_slow_client_reads_again() {
    let (fixture, attempts) = Fixture::start_with_backend();
    let mut client = fixture.connect();
    client.write_all(&query("1")).expect("the connection is open");
    let writer =
        fixture.answer_with_stream(attempts.recv_timeout(ANSWER_TIMEOUT).expect("the request is forwarded"));
    let (mut written, mut last_progress) = (0, Instant::now());
    while last_progress.elapsed() < BLOCKED_TIME {
        match writer.capacity() {
            0 => std::thread::sleep(Duration::from_millis(1)),
            capacity => {
                writer.write(&vec![b'x'; capacity]);
                written += capacity;
                last_progress = Instant::now();
            }
        }
    }
    writer.finish();
    assert!(read_bytes(&mut client, written) == vec![b'x'; written]);
}
