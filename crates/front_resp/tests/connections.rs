//! The answers and closes that clients get from a front, on real sockets.

use exchange::{Clock, Exchange};
use front_resp::{ClassRule, Front, PlanRule, RequestRules, RespExchange};
use link::{Connection, Listener};
use policy::{Plan, RequestClass, Settings};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

const MEMORY_BYTES: usize = 64 << 20;
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for an expected answer or close.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of the protocol for the error to a command that is never complete.
const INCOMPLETE_COMMAND_LIMIT: Duration = Duration::from_secs(3);

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: &[u8] = b"+PONG\r\n";

/// A front that serves on loopback, without any backend.
struct Fixture {
    front: Arc<Front>,
    listener: Arc<Listener>,
    address: SocketAddr,
}

impl Fixture {
    fn start(max_connections: usize) -> Self {
        link::set_up();
        let settings = Settings {
            classes: vec![RequestClass::default()],
            plans: vec![Plan::default()],
            ..Settings::default()
        };
        let exchange: Arc<RespExchange> = Exchange::new(settings, 1, Clock::start()).expect("valid settings");
        let front = Front::new(exchange, rules(), MEMORY_BYTES, move || max_connections);
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
        Self { front, listener, address }
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
        classes: vec![ClassRule { name: "lookup".into(), number: 0, is_idempotent: true, deadline_ms: 2500 }],
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
