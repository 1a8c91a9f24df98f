//! The watch against a stand-in of the agent that is written from the protocol.

use discovery::{PollBackoff, Watch, WatchEvent};
use settings::EndpointList;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// What the agent has counts as known after this.
const KNOWN_WITHIN: Duration = Duration::from_secs(6);

fn next<T>(from: &Receiver<T>) -> T {
    from.recv_timeout(TIMEOUT).expect("it came in time")
}

/// A request that the watch has sent.
struct Request {
    line: String,
    stream: TcpStream,
}

impl Request {
    fn respond(&mut self) {
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    fn send_chunk(&mut self, text: &str) {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the watch reads");
    }
}

fn agent() -> (SocketAddr, Receiver<Request>) {
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

/// A watch that runs, whose silence is checked as the program's clock does.
fn watch(at: SocketAddr) -> Receiver<WatchEvent> {
    link::set_up();
    let watch = Watch::new(at);
    let (sender, events): (Sender<WatchEvent>, _) = channel();
    let (running, sender) = (watch.clone(), Mutex::new(sender));
    link::spawn_with(link::LARGE_STACK, move || {
        running.run(40, PollBackoff::new(7, false), |event| {
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

fn list(event: WatchEvent) -> EndpointList {
    let WatchEvent::EndpointList(list) = event else { panic!("no list but {event:?}") };
    list
}

#[test]
fn an_indented_list_is_read_like_one_on_a_line() {
    let (at, requests) = agent();
    let events = watch(at);
    let mut request = next(&requests);
    assert_eq!(request.line, "GET /discovery/hosts?stream=1&index=40 HTTP/1.1");
    request.respond();
    request.send_chunk("{\n  \"rev\": 41,\n  \"all\": false,\n");
    request.send_chunk("  \"targets\": [\n    {\"uid\": \"s-1\", \"state\": \"draining\"}\n  ]\n}\n");
    let first = list(next(&events));
    assert_eq!((first.revision, first.endpoints[0].state.as_str()), (41, "draining"));
    request.send_chunk("{\"rev\":42,\"targets\":[]}\n");
    assert_eq!(list(next(&events)).revision, 42);
}

/// The reader of JSON recurses: a list that nests without end overran the stack, and the watch never came back.
#[test]
fn a_list_that_cannot_be_read_ends_the_watch_and_nothing_else() {
    let (at, requests) = agent();
    let events = watch(at);
    let deep = format!("{{\"rev\":41,\"x\":{}\n", "[".repeat(200_000) + &"]".repeat(200_000) + "}");
    for malformed in [deep.as_str(), "nonsense\n", "{\"rev\":\"x\"}\n", "{\"targets\":[{}]}\n"] {
        let mut request = next(&requests);
        assert!(request.line.contains("index=40"), "from the version of the last list");
        request.respond();
        // It may hang up before all is written.
        let _ = request.stream.write_all(format!("{:x}\r\n{malformed}\r\n", malformed.len()).as_bytes());
        assert!(matches!(next(&events), WatchEvent::Lost), "{:.20}", malformed);
    }
    let mut request = next(&requests);
    request.respond();
    request.send_chunk("{\"rev\":43,\"all\":true,\"targets\":[]}\n");
    assert_eq!(list(next(&events)).revision, 43);
}

/// What it missed counts as known 6 s after it fell silent.
#[test]
fn a_watch_without_a_complete_line_is_requested_again_in_time() {
    let (at, requests) = agent();
    let events = watch(at);
    let mut request = next(&requests);
    request.respond();
    let silent = Instant::now();
    request.send_chunk("\n");
    // Bytes that make no line, and no object that ends, are no sign of life.
    let mut stream = request.stream.try_clone().expect("a second handle");
    request.send_chunk("{\"rev\":41,");
    let chatter = std::thread::spawn(move || {
        while silent.elapsed() < TIMEOUT && stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::park_timeout(Duration::from_millis(100));
        }
    });
    assert!(matches!(next(&events), WatchEvent::Lost));
    // One request that gets no response times out.
    let unanswered = next(&requests);
    assert!(unanswered.line.contains("index=40"));
    let mut answered = next(&requests);
    answered.respond();
    answered.send_chunk("{\"rev\":42,\"targets\":[]}\n");
    assert!(matches!(next(&events), WatchEvent::Lost));
    assert_eq!(list(next(&events)).revision, 42);
    assert!(silent.elapsed() < KNOWN_WITHIN, "{:?}", silent.elapsed());
    chatter.join().expect("no panic");
}
