//! The watch against a stand-in for the agent, which implements the protocol independently of the watch.

use discovery::{AgentMode, PollBackoff, Watch, WatchEvent};
use settings::EndpointList;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time until a gatekeeper receives a change that the agent has.
const NOTIFICATION_BOUND: Duration = Duration::from_secs(6);

fn next<T>(receiver: &Receiver<T>) -> T {
    receiver.recv_timeout(TIMEOUT).expect("an item arrives in time")
}

/// A request of the watch, and the connection for the response.
struct Request {
    line: String,
    stream: TcpStream,
}

impl Request {
    fn send_head(&mut self) {
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    fn send_chunk(&mut self, text: &str) {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the watch reads");
    }
}

/// Starts a stand-in for the agent, and returns its address and the requests that it receives.
fn start_agent() -> (SocketAddr, Receiver<Request>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
            let mut request = String::new();
            let mut line = String::new();
            while lines.read_line(&mut line).is_ok_and(|n| n > 2) {
                if request.is_empty() {
                    request = line.trim_end().to_owned();
                }
                line.clear();
            }
            if sender.send(Request { line: request, stream }).is_err() {
                return;
            }
        }
    });
    (address, requests)
}

/// Starts a watch and checks it for silence at the interval of the program's clock ticks.
fn start_watch(address: SocketAddr) -> Receiver<WatchEvent> {
    link::set_up();
    let watch = Watch::new(address);
    let (sender, events): (Sender<WatchEvent>, _) = channel();
    let (running, sender) = (watch.clone(), Mutex::new(sender));
    link::spawn_with(link::JSON_STACK_BYTES, move || {
        running.run(40, PollBackoff::new(7, AgentMode::Notified), |event| {
            let _ = sender.lock().expect("no panic").send(event);
        });
    });
    let checked = Arc::downgrade(&watch);
    std::thread::spawn(move || {
        while let Some(watch) = checked.upgrade() {
            watch.close_if_silent();
            std::thread::park_timeout(Duration::from_millis(250));
        }
    });
    events
}

fn expect_list(event: WatchEvent) -> EndpointList {
    let WatchEvent::EndpointList(list) = event else { panic!("expected a list, got {event:?}") };
    list
}

#[test]
fn a_list_may_span_several_lines_and_chunks() {
    let (address, requests) = start_agent();
    let events = start_watch(address);
    let mut request = next(&requests);
    assert_eq!(request.line, "GET /discovery/hosts?stream=1&index=40 HTTP/1.1");
    request.send_head();
    request.send_chunk("{\n  \"rev\": 41,\n  \"all\": false,\n");
    request.send_chunk("  \"targets\": [\n    {\"uid\": \"s-1\", \"state\": \"draining\"}\n  ]\n}\n");
    let first = expect_list(next(&events));
    assert_eq!((first.revision, first.endpoints[0].state.as_str()), (41, "draining"));
    request.send_chunk("{\"rev\":42,\"targets\":[]}\n");
    assert_eq!(expect_list(next(&events)).revision, 42);
}

/// Guards against a stack overflow in the recursive JSON parser: a deeply nested list once caused one, and the watch never
/// recovered.
#[test]
fn a_malformed_list_ends_the_watch_which_is_then_requested_again() {
    let (address, requests) = start_agent();
    let events = start_watch(address);
    let deep = format!("{{\"rev\":41,\"x\":{}\n", "[".repeat(200_000) + &"]".repeat(200_000) + "}");
    for malformed in [deep.as_str(), "nonsense\n", "{\"rev\":\"x\"}\n", "{\"targets\":[{}]}\n"] {
        let mut request = next(&requests);
        assert!(request.line.contains("index=40"), "the watch resumes from the version of the last list");
        request.send_head();
        // The watch may close the connection before the list is written completely.
        let _ = request.stream.write_all(format!("{:x}\r\n{malformed}\r\n", malformed.len()).as_bytes());
        assert!(matches!(next(&events), WatchEvent::Lost), "{:.20}", malformed);
    }
    let mut request = next(&requests);
    request.send_head();
    request.send_chunk("{\"rev\":43,\"all\":true,\"targets\":[]}\n");
    assert_eq!(expect_list(next(&events)).revision, 43);
}

/// Changes must be received within 6 s after the last line of the broken watch.
#[test]
fn a_watch_without_complete_lines_is_requested_again_within_the_notification_bound() {
    let (address, requests) = start_agent();
    let events = start_watch(address);
    let mut request = next(&requests);
    request.send_head();
    let last_line_at = Instant::now();
    request.send_chunk("\n");
    // Bytes that complete neither a line nor an object do not count as activity.
    let mut stream = request.stream.try_clone().expect("a second handle");
    request.send_chunk("{\"rev\":41,");
    let writer = std::thread::spawn(move || {
        while last_line_at.elapsed() < TIMEOUT && stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::park_timeout(Duration::from_millis(100));
        }
    });
    assert!(matches!(next(&events), WatchEvent::Lost));
    // The first request after the silent watch gets no response and times out.
    let unanswered = next(&requests);
    assert!(unanswered.line.contains("index=40"));
    let mut answered = next(&requests);
    answered.send_head();
    answered.send_chunk("{\"rev\":42,\"targets\":[]}\n");
    assert!(matches!(next(&events), WatchEvent::Lost));
    assert_eq!(expect_list(next(&events)).revision, 42);
    assert!(last_line_at.elapsed() < NOTIFICATION_BOUND, "{:?}", last_line_at.elapsed());
    writer.join().expect("the writing thread did not panic");
}
