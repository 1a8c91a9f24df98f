//! Attempts on real connections to a backend whose answers the tests control.

use destination::{BackendEndpoint, BackendPools, Limits, RespProtocol};
use exchange::{
    AnswerBody, Clock, Exchange, FailureReason, FinalAnswer, ReadResult, Request, RequestId, StreamReader,
    TenantId,
};
use policy::{
    BackendEntry, BackendId, BackendState, ListKind, Micros, Plan, RequestClass, Settings, Timestamp,
};
use resp::RequestCommand;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time that a test waits for an event.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than the 20 ms for which a connection must be quiet before it is reused.
const REUSE_DELAY: Duration = Duration::from_millis(60);
const REQUEST_TIMEOUT: Micros = 10_000_000;
const BACKEND: BackendId = BackendId(1);
const ANSWER: &[u8] = b"*1\r\n$2\r\nhi\r\n";

type TestPools = BackendPools<RespProtocol>;
type TestExchange = Exchange<RequestCommand, AnswerBody>;

/// The exchange and the pools of a gatekeeper with one backend.
struct Gatekeeper {
    exchange: Arc<TestExchange>,
    pools: Arc<TestPools>,
    backend: BackendEndpoint,
}

/// A submitted request, and the channel of its final answer.
struct SubmittedRequest {
    id: RequestId,
    answers: Receiver<FinalAnswer<AnswerBody>>,
}

impl Gatekeeper {
    fn new(address: SocketAddr) -> Self {
        link::set_up();
        let class = RequestClass {
            latency_objective: REQUEST_TIMEOUT,
            deadline: REQUEST_TIMEOUT,
            ..RequestClass::default()
        };
        let settings = Settings {
            classes: vec![class],
            plans: vec![Plan::default()],
            max_attempts: 1,
            ..Settings::default()
        };
        let limits = Limits {
            connect_timeout: Duration::from_millis(settings.connect_timeout / 1000),
            idle_timeout: TIMEOUT,
            max_connections: 100,
            max_answer_bytes: resp::MAX_MESSAGE_BYTES,
            stream_budget_bytes: 1 << 20,
        };
        let exchange = Exchange::new(settings, 1, Clock::start()).expect("valid settings");
        let pools = BackendPools::new(RespProtocol::new(&[]), limits);
        pools.set_exchange(exchange.clone());
        exchange.connect(pools.clone(), None);
        let backend =
            BackendEndpoint { id: BACKEND, address, state: BackendState::Ready, started: Timestamp::ZERO };
        let gatekeeper = Self { exchange, pools, backend };
        gatekeeper.pools.update_endpoints(ListKind::Full, std::slice::from_ref(&gatekeeper.backend));
        let entry = BackendEntry { id: BACKEND, ..BackendEntry::default() };
        gatekeeper.exchange.update_endpoints(ListKind::Full, vec![entry]);
        gatekeeper
    }

    fn submit(&self) -> SubmittedRequest {
        let (sender, answers) = channel();
        let request = Request {
            class: 0,
            plan: 0,
            tenant: TenantId(7),
            time_left: REQUEST_TIMEOUT,
            tenant_gatekeepers: 1.0,
            units: 1.0,
            client_retry: false,
            account: None,
            payload: RequestCommand::new(b"$3\r\nd=9\r\n".to_vec(), 4..7).expect("the query has a deadline"),
        };
        let reply = move |answer| {
            let _ = sender.send(answer);
        };
        SubmittedRequest { id: self.exchange.submit(request, Box::new(reply)), answers }
    }
}

impl SubmittedRequest {
    fn answer(&self) -> FinalAnswer<AnswerBody> {
        self.answers.recv_timeout(TIMEOUT).expect("a final answer arrives in time")
    }

    /// Waits for a served and buffered answer, and returns its value.
    #[track_caller]
    fn value(&self) -> Vec<u8> {
        match self.answer() {
            FinalAnswer::Served(AnswerBody::Complete(value)) => value,
            other => panic!("expected a buffered answer, got {other:?}"),
        }
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("the read timeout is set");
    stream
}

/// Reads until a request has arrived.
fn read_request(stream: &mut TcpStream) {
    let mut bytes = [0; 1024];
    let count = stream.read(&mut bytes).expect("a request arrives");
    assert!(count > 0, "the connection is closed before a request arrived");
}

/// Whether the gatekeeper closes the connection without another byte.
fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 1]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

#[track_caller]
fn wait_until(condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT, "the condition was not met in time");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_quiet_connection_is_reused_and_a_busy_one_is_not() {
    let (listener, address) = listen();
    let gatekeeper = Gatekeeper::new(address);
    let first = gatekeeper.submit();
    let mut connection = accept(&listener);
    read_request(&mut connection);
    let second = gatekeeper.submit();
    let mut other_connection = accept(&listener);
    read_request(&mut other_connection);
    connection.write_all(ANSWER).expect("the connection is open");
    assert_eq!(first.value(), b"$2\r\nhi\r\n");
    thread::sleep(REUSE_DELAY);
    let third = gatekeeper.submit();
    read_request(&mut connection);
    for (connection, request) in [(&mut connection, third), (&mut other_connection, second)] {
        connection.write_all(ANSWER).expect("the connection is open");
        assert_eq!(request.value(), b"$2\r\nhi\r\n");
    }
    assert_eq!((gatekeeper.pools.open_connections(), gatekeeper.pools.attempts_written()), (2, 3));
}

#[test]
fn an_attempt_whose_client_disconnects_is_cancelled_by_closing_its_connection() {
    let (listener, address) = listen();
    let gatekeeper = Gatekeeper::new(address);
    let request = gatekeeper.submit();
    let mut connection = accept(&listener);
    read_request(&mut connection);
    gatekeeper.exchange.client_gone(request.id);
    assert!(is_closed(&mut connection));
    wait_until(|| gatekeeper.pools.open_connections() == 0);
    assert!(request.answers.try_recv().is_err());
}

#[test]
fn a_connection_with_bytes_after_its_answer_is_closed() {
    let (listener, address) = listen();
    let gatekeeper = Gatekeeper::new(address);
    let request = gatekeeper.submit();
    let mut connection = accept(&listener);
    read_request(&mut connection);
    connection.write_all(&[ANSWER, b"noise"].concat()).expect("the connection is open");
    assert_eq!(request.value(), b"$2\r\nhi\r\n");
    assert!(is_closed(&mut connection));
    wait_until(|| gatekeeper.pools.open_connections() == 0);
}

#[test]
fn an_idle_connection_is_closed_when_its_backend_drains() {
    let (listener, address) = listen();
    let gatekeeper = Gatekeeper::new(address);
    let request = gatekeeper.submit();
    let mut connection = accept(&listener);
    read_request(&mut connection);
    connection.write_all(ANSWER).expect("the connection is open");
    request.value();
    let draining = BackendEndpoint { state: BackendState::Draining, ..gatekeeper.backend.clone() };
    gatekeeper.pools.update_endpoints(ListKind::Delta, &[draining]);
    assert!(is_closed(&mut connection));
}

/// An ejection reaches the pools before the policy, which may select the backend in between.
#[test]
fn nothing_is_written_to_an_ejected_backend_that_the_policy_still_selects() {
    let (listener, address) = listen();
    let gatekeeper = Gatekeeper::new(address);
    gatekeeper.pools.set_operator_ejection(BACKEND, true);
    let request = gatekeeper.submit();
    let answer = request.answer();
    assert!(matches!(answer, FinalAnswer::Rejected { reason: FailureReason::NoCapacity, .. }), "{answer:?}");
    assert_eq!((gatekeeper.pools.open_connections(), gatekeeper.pools.attempts_written()), (0, 0));
    drop(listener);
}

#[test]
fn a_refused_connection_fails_the_attempt_and_is_not_counted_as_open() {
    let (_listener, address) = listen();
    // Nothing listens on the port of an outgoing connection, and no other test can bind it.
    let outgoing = TcpStream::connect(address).expect("a connection");
    let gatekeeper = Gatekeeper::new(outgoing.local_addr().expect("an address"));
    let answer = gatekeeper.submit().answer();
    assert!(matches!(answer, FinalAnswer::Rejected { reason: FailureReason::NoBackend, .. }), "{answer:?}");
    assert_eq!(gatekeeper.pools.open_connections(), 0);
}

#[test]
fn an_idempotent_request_whose_connection_ends_is_rejected_as_backend_failed() {
    let (listener, address) = listen();
    let gatekeeper = Gatekeeper::new(address);
    let request = gatekeeper.submit();
    let mut connection = accept(&listener);
    read_request(&mut connection);
    drop(connection);
    let answer = request.answer();
    assert!(
        matches!(answer, FinalAnswer::Rejected { reason: FailureReason::BackendFailed, .. }),
        "{answer:?}"
    );
    wait_until(|| gatekeeper.pools.open_connections() == 0);
}

#[test]
fn a_large_answer_of_a_backend_that_keeps_its_connection_open_is_streamed() {
    const VALUE_BYTES: usize = 300_000;
    let (listener, address) = listen();
    let gatekeeper = Gatekeeper::new(address);
    let request = gatekeeper.submit();
    let mut connection = accept(&listener);
    read_request(&mut connection);
    let backend = thread::spawn(move || {
        let head = format!("*2\r\n${VALUE_BYTES}\r\n");
        let answer = [head.as_bytes(), &vec![b'x'; VALUE_BYTES], b"\r\n$-1\r\n"].concat();
        connection.write_all(&answer).expect("the connection is open");
        connection
    });
    let FinalAnswer::Served(AnswerBody::Stream(reader)) = request.answer() else {
        panic!("the answer is not streamed")
    };
    let (received, end) = read_to_end(&reader);
    let expected = [format!("${VALUE_BYTES}\r\n").as_bytes(), &vec![b'x'; VALUE_BYTES], b"\r\n"].concat();
    assert_eq!((received.len(), end), (expected.len(), ReadResult::End));
    assert!(received == expected, "the streamed bytes differ from the answer");
    let _connection = backend.join().expect("the backend thread did not panic");
    wait_until(|| gatekeeper.exchange.open_streams() == 0);
}

/// Regression: if the backend closed the connection right behind a large answer, the client got the value without its last line
/// end, and its connection was closed.
#[test]
fn a_large_answer_of_a_backend_that_closes_right_behind_it_is_complete() {
    const VALUE_BYTES: usize = 100_000;
    let (listener, address) = listen();
    let gatekeeper = Gatekeeper::new(address);
    let head = format!("*2\r\n${VALUE_BYTES}\r\n");
    let answer = [head.as_bytes(), &vec![b'x'; VALUE_BYTES], b"\r\n$-1\r\n"].concat();
    // The end of stream may arrive with any of the last bytes.
    for separate_bytes in [0, 1, 6, 7, 8, 20_000] {
        let request = gatekeeper.submit();
        let mut connection = accept(&listener);
        read_request(&mut connection);
        let (first, last) = answer.split_at(answer.len() - separate_bytes);
        connection.write_all(first).expect("the connection is open");
        thread::sleep(REUSE_DELAY);
        connection.write_all(last).expect("the connection is open");
        drop(connection);
        let FinalAnswer::Served(AnswerBody::Stream(reader)) = request.answer() else {
            panic!("the answer is not streamed")
        };
        let (received_bytes, end) = read_to_end(&reader);
        let expected = [format!("${VALUE_BYTES}\r\n").as_bytes(), &vec![b'x'; VALUE_BYTES], b"\r\n"].concat();
        assert_eq!(
            (received_bytes.len(), end),
            (expected.len(), ReadResult::End),
            "the last {separate_bytes} bytes were sent by themselves"
        );
        assert!(received_bytes == expected, "the streamed bytes differ from the answer");
    }
}

/// Reads a stream to its end. Returns the bytes, and how the stream ended.
fn read_to_end(reader: &StreamReader) -> (Vec<u8>, ReadResult) {
    let mut received = Vec::new();
    let started_at = Instant::now();
    loop {
        match reader.read(10_000) {
            ReadResult::Bytes(bytes) => received.extend(bytes),
            ReadResult::Pending => thread::sleep(Duration::from_millis(1)),
            end => return (received, end),
        }
        assert!(started_at.elapsed() < TIMEOUT, "only {} bytes arrived in time", received.len());
    }
}
