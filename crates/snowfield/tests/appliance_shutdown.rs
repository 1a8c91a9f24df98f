//! Graceful shutdown of the appliance: each request that was accepted is answered, and the process exits when nothing is pending
//! (docs/design/shutdown-and-cancellation.md).
//!
//! The appliance serves for 0.5 s after the signal. Then it drains for up to the longest deadline and 0.3 s, and for longer only
//! while a client still waits for something.

mod common;

use common::appliance::*;
use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::sleep;
use std::time::Duration;

/// A backend that holds the response to its only request until the test releases it.
struct HoldingBackend {
    address: SocketAddr,
    events: Receiver<BackendEvent<Message>>,
    release: Sender<()>,
}

fn start_holding_backend() -> HoldingBackend {
    let (release, released) = channel();
    let released = Mutex::new(Some(released));
    let (address, events) = start_backend(read_message, move |request| {
        let released =
            released.lock().expect("the lock is not poisoned").take().expect("the backend gets one request");
        Behaviour::ReplyAfter(released, ok_response(&request.first_line))
    });
    HoldingBackend { address, events, release }
}

/// A request of the class `notice`, which must not be sent twice.
fn post_request() -> String {
    "POST /v1/loans/7 HTTP/1.1\r\nHost: api.example.com\r\nX-Lender: al-noor\r\nContent-Length: 6\r\n\r\nnotice".into()
}

/// Opens a connection and sends the first half of a request on it.
fn send_first_half(site: &Appliance, request: &str) -> Client {
    let mut client = Client::connect(site.listen);
    client.send(&request.as_bytes()[..request.len() / 2]);
    client
}

fn send_second_half(client: &mut Client, request: &str) {
    client.send(&request.as_bytes()[request.len() / 2..]);
}

/// Regression: the process exited at a fixed time after the start of the drain, although a request that had become complete
/// during the drain was in flight. The backend ran the request, and the client got no answer.
#[test]
fn at_shutdown_a_request_that_becomes_complete_late_is_answered() {
    for signal in ["-TERM", "-INT"] {
        let HoldingBackend { address, events, release } = start_holding_backend();
        let options =
            ApplianceOptions { backends: &[address], deadline_ms: 2_000, ..ApplianceOptions::default() };
        let mut site = start_appliance("complete-late", &options);
        let mut client = send_first_half(&site, &post_request());
        site.program.signal(signal);
        sleep(Duration::from_millis(2_000));
        send_second_half(&mut client, &post_request());
        next_request(&events);
        // 3.2 s after the signal the longest deadline and the margin have passed, and the request has 0.8 s left.
        sleep(Duration::from_millis(1_200));
        release.send(()).expect("the stand-in waits for the release");
        assert_eq!(client.read_response().status(), 200);
        drop(client);
        assert_eq!(site.program.wait(), Some(0));
    }
}

/// Regression: the process exited while requests were incomplete. One of them could have become complete at that moment.
#[test]
fn at_shutdown_an_incomplete_request_has_its_whole_timeout() {
    let (address, _events) = start_http_echo_backend();
    let options = ApplianceOptions {
        backends: &[address],
        deadline_ms: 800,
        patience_ms: 4_000,
        ..ApplianceOptions::default()
    };
    let mut site = start_appliance("incomplete", &options);
    let mut completed = send_first_half(&site, &post_request());
    let mut stalled = send_first_half(&site, &post_request());
    site.program.terminate();
    // 2.2 s after the signal the longest deadline and the margin have passed.
    sleep(Duration::from_millis(2_200));
    send_second_half(&mut completed, &post_request());
    assert_eq!(completed.read_response().status(), 200);
    assert_eq!(stalled.read_response().status(), 408);
    drop((completed, stalled));
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: the process exited while a client was still reading its answer. The rest of the answer was lost.
#[test]
fn at_shutdown_an_answer_is_sent_completely_to_a_slow_reader() {
    const BODY_BYTES: usize = 16_000_000;
    let (address, _events) =
        start_backend(read_message, |_| Behaviour::Reply(ok_response(&"x".repeat(BODY_BYTES))));
    let limits = "answer_bytes = 16000000";
    let options =
        ApplianceOptions { backends: &[address], deadline_ms: 800, limits, ..ApplianceOptions::default() };
    let mut site = start_appliance("slow-reader", &options);
    let mut client = Client::connect(site.listen);
    client.send(get_request("/v1/loans/7").as_bytes());
    let head = read_message_head(&mut client.reader).expect("the response begins");
    assert_eq!(head.status(), 200);
    site.program.terminate();
    // 2.2 s after the signal the longest deadline and the margin have passed.
    sleep(Duration::from_millis(2_200));
    let mut body = vec![0; BODY_BYTES];
    client.reader.read_exact(&mut body).expect("the response is complete");
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
}

/// Suspends the program while it closes its listener, 0.5 s after the signal, and connects clients meanwhile, so that their
/// connections and requests are in the backlog. Returns the clients after the program has resumed.
fn connect_while_the_listener_closes(site: &Appliance) -> Vec<Client> {
    site.program.terminate();
    sleep(Duration::from_millis(350));
    site.program.suspend();
    let mut waiting: Vec<Client> = (0..6).map(|_| Client::connect(site.listen)).collect();
    waiting.iter_mut().for_each(|client| client.send(get_request("/v1/loans/7").as_bytes()));
    sleep(Duration::from_millis(300));
    site.program.signal("-CONT");
    waiting
}

/// Regression: a connection that was in the backlog with its request when the listener closed was accepted, and closed without
/// being read.
#[test]
fn at_shutdown_a_request_in_the_listener_backlog_is_answered() {
    let (address, _events) = start_http_echo_backend();
    let options = ApplianceOptions { backends: &[address], ..ApplianceOptions::default() };
    let mut site = start_appliance("backlog", &options);
    // This connection keeps the process from exiting.
    let mut connected = Client::connect(site.listen);
    assert_eq!(connected.request(&get_request("/v1/loans/7")).status(), 200);
    let mut waiting = connect_while_the_listener_closes(&site);
    for client in &mut waiting {
        assert_eq!(client.read_response().status(), 200);
    }
    drop((connected, waiting));
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: the process exited before it had accepted the connections in the backlog, if it had no other connection.
#[test]
fn at_shutdown_the_process_accepts_the_listener_backlog_before_it_exits() {
    let (address, _events) = start_http_echo_backend();
    let options = ApplianceOptions { backends: &[address], ..ApplianceOptions::default() };
    let mut site = start_appliance("backlog-alone", &options);
    let mut waiting = connect_while_the_listener_closes(&site);
    for client in &mut waiting {
        assert_eq!(client.read_response().status(), 200);
    }
    drop(waiting);
    assert_eq!(site.program.wait(), Some(0));
}

/// Regression: during the drain, the response to an invalid request said that the connection stays open, and the requests
/// behind it were accepted. A client that kept sending them was never disconnected.
#[test]
fn at_shutdown_the_response_to_an_invalid_request_closes_its_connection() {
    let (address, events) = start_http_echo_backend();
    let options = ApplianceOptions { backends: &[address], ..ApplianceOptions::default() };
    let mut site = start_appliance("invalid", &options);
    let mut idle = Client::connect(site.listen);
    assert_eq!(idle.request(&get_request("/v1/nothing")).status(), 404);
    let invalid = get_request("/v1/nothing");
    let mut client = send_first_half(&site, &invalid);
    site.program.terminate();
    assert!(idle.is_closed(), "the program has begun to close connections");
    let rest = invalid[invalid.len() / 2..].to_owned();
    client.send((rest + &get_request("/v1/loans/7")).as_bytes());
    let response = client.read_response();
    assert_eq!((response.status(), response.field("connection")), (404, Some("close")));
    assert!(client.is_closed());
    drop((client, idle));
    assert_eq!(site.program.wait(), Some(0));
    assert!(all_requests(&events).is_empty(), "the request behind the invalid one is not forwarded");
}

/// A client that sends one request at drawn times.
#[derive(Clone, Copy)]
struct PlannedClient {
    number: usize,
    starts_after: Duration,
    writes_for: Duration,
    /// Time that the backend needs for the request.
    processing_time: Duration,
}

/// How a client's request ended.
#[derive(Debug, PartialEq, Eq)]
enum ClientOutcome {
    Answered(u16),
    /// The connection was refused, or ended without a response.
    Closed,
}

impl PlannedClient {
    fn draw(number: usize, random: &mut fastrand::Rng) -> Self {
        let mut time_up_to = |milliseconds| Duration::from_millis(random.u64(0..milliseconds));
        Self {
            number,
            starts_after: time_up_to(1_600),
            writes_for: time_up_to(2_500),
            processing_time: time_up_to(1_500),
        }
    }

    fn request(&self) -> String {
        format!(
            "POST /v1/loans/{} HTTP/1.1\r\nHost: api.example.com\r\nX-Lender: al-noor\r\nX-Processing-Time: {}\r\n\
             Content-Length: 6\r\n\r\nnotice",
            self.number,
            self.processing_time.as_millis()
        )
    }

    fn run(&self, address: SocketAddr) -> ClientOutcome {
        sleep(self.starts_after);
        self.send_request(address)
            .map_or(ClientOutcome::Closed, |response| ClientOutcome::Answered(response.status()))
    }

    /// Sends the request in two parts. Returns the response; `None` if the connection is refused or ends without one.
    fn send_request(&self, address: SocketAddr) -> Option<Message> {
        let mut connection = TcpStream::connect(address).ok()?;
        connection.set_read_timeout(Some(TIMEOUT)).expect("the timeout can be set");
        let request = self.request();
        let (first_half, second_half) = request.split_at(request.len() / 2);
        connection.write_all(first_half.as_bytes()).ok()?;
        sleep(self.writes_for);
        connection.write_all(second_half.as_bytes()).ok()?;
        read_message(&mut BufReader::new(connection))
    }
}

/// Shuts an appliance down while clients send requests at times drawn from `seed`.
fn shut_down_under_load(seed: u64) {
    const CLIENTS: usize = 40;
    const SIGNAL_AFTER: Duration = Duration::from_millis(1_000);
    let (address, events) = start_backend(read_message, |request| {
        let milliseconds = request.field("x-processing-time").and_then(|text| text.parse().ok());
        sleep(Duration::from_millis(milliseconds.expect("a number of milliseconds")));
        Behaviour::Reply(ok_response(&request.first_line))
    });
    let options =
        ApplianceOptions { backends: &[address], deadline_ms: 2_000, ..ApplianceOptions::default() };
    let mut site = start_appliance(&format!("seed-{seed}"), &options);
    let mut random = fastrand::Rng::with_seed(seed);
    let listen = site.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| PlannedClient::draw(number, &mut random))
        .map(|client| std::thread::spawn(move || client.run(listen)))
        .collect();
    sleep(SIGNAL_AFTER);
    let forwarded_before = all_requests(&events);
    site.program.terminate();
    let outcomes: Vec<ClientOutcome> =
        clients.into_iter().map(|client| client.join().expect("the client ends")).collect();
    assert_eq!(site.program.wait(), Some(0), "seed {seed}");
    let forwarded_after = all_requests(&events);
    assert!(!forwarded_after.is_empty(), "seed {seed}: no request was forwarded after the signal");
    for request in forwarded_before.iter().chain(&forwarded_after) {
        let number = request.target().rsplit('/').next().and_then(|text| text.parse::<usize>().ok());
        let outcome = &outcomes[number.expect("the number of the client")];
        assert_ne!(*outcome, ClientOutcome::Closed, "seed {seed}: {} was run", request.first_line);
    }
}

/// A request that a backend has run has a final answer, whenever it began, became complete and was answered around a shutdown.
#[test]
fn at_shutdown_each_request_that_was_run_is_answered() {
    let runs = [1, 2, 3].map(|seed| std::thread::spawn(move || shut_down_under_load(seed)));
    for run in runs {
        run.join().expect("each request that was run is answered");
    }
}

/// The response to the request in flight is sent. Requests after it are not read, so that their client may safely send them
/// again.
#[test]
fn at_shutdown_no_request_after_the_last_response_is_accepted() {
    let HoldingBackend { address, events, release } = start_holding_backend();
    let mut site =
        start_appliance("ends", &ApplianceOptions { backends: &[address], ..ApplianceOptions::default() });
    let mut client = Client::connect(site.listen);
    client.send(get_request("/v1/loans/1").as_bytes());
    next_request(&events);
    let mut idle = Client::connect(site.listen);
    assert_eq!(idle.request(&get_request("/v1/nothing")).status(), 404);
    site.program.terminate();
    assert!(idle.is_closed(), "shutdown has started");
    client.send(&[get_request("/v1/loans/2").into_bytes(), vec![b'x'; 300_000]].concat());
    release.send(()).expect("the stand-in waits for the release");
    assert_eq!(client.read_response().status(), 200);
    let mut rest = Vec::new();
    client.reader.read_to_end(&mut rest).expect("the connection is closed without a reset");
    assert!(rest.is_empty());
    drop(client);
    assert_eq!(site.program.wait(), Some(0));
    assert!(all_requests(&events).is_empty(), "the request after the last response is not forwarded");
}
