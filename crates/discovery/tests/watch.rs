//! The watch against a stand-in of the agent that is written from the protocol.

use discovery::{News, Pace, Watch};
use settings::EndpointList;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(20);

/// What discovery has counts as told after this.
const TOLD: Duration = Duration::from_secs(6);

fn next<T>(from: &Receiver<T>) -> T {
    from.recv_timeout(LONG).expect("it came in time")
}

/// A call that the watch has made.
struct Call {
    request: String,
    stream: TcpStream,
}

impl Call {
    fn answer(&mut self) {
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    fn say(&mut self, text: &str) {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the watch reads");
    }
}

fn agent() -> (SocketAddr, Receiver<Call>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tell, calls) = channel();
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
            if tell.send(Call { request, stream }).is_err() {
                return;
            }
        }
    });
    (address, calls)
}

/// A watch that runs, with the sweeps that the program's clock makes.
fn watch(at: SocketAddr) -> Receiver<News> {
    link::set_up();
    let watch = Watch::new(at);
    let (tell, told): (Sender<News>, _) = channel();
    let (running, tell) = (watch.clone(), Mutex::new(tell));
    link::spawn_with(link::LARGE_STACK, move || {
        running.run(40, Pace::new(7, false), |news| {
            let _ = tell.lock().expect("no panic").send(news);
        });
    });
    let swept = Arc::downgrade(&watch);
    std::thread::spawn(move || {
        while let Some(watch) = swept.upgrade() {
            watch.sweep();
            std::thread::park_timeout(Duration::from_millis(250));
        }
    });
    told
}

fn list(news: News) -> EndpointList {
    let News::List(list) = news else { panic!("no list but {news:?}") };
    list
}

#[test]
fn an_indented_list_is_taken_like_one_on_a_line() {
    let (at, calls) = agent();
    let told = watch(at);
    let mut call = next(&calls);
    assert_eq!(call.request, "GET /discovery/hosts?stream=1&index=40 HTTP/1.1");
    call.answer();
    call.say("{\n  \"rev\": 41,\n  \"all\": false,\n");
    call.say("  \"targets\": [\n    {\"uid\": \"s-1\", \"state\": \"draining\"}\n  ]\n}\n");
    let first = list(next(&told));
    assert_eq!((first.revision, first.endpoints[0].state.as_str()), (41, "draining"));
    call.say("{\"rev\":42,\"targets\":[]}\n");
    assert_eq!(list(next(&told)).revision, 42);
}

/// The reader of JSON recurses: a list that nests without end overran the stack, and nothing was heard of discovery ever again.
#[test]
fn a_list_that_cannot_be_read_ends_the_watch_and_nothing_else() {
    let (at, calls) = agent();
    let told = watch(at);
    let deep = format!("{{\"rev\":41,\"x\":{}\n", "[".repeat(200_000) + &"]".repeat(200_000) + "}");
    for spoilt in [deep.as_str(), "nonsense\n", "{\"rev\":\"x\"}\n", "{\"targets\":[{}]}\n"] {
        let mut call = next(&calls);
        assert!(call.request.contains("index=40"), "from the version that was last had");
        call.answer();
        // It may hang up before all is written.
        let _ = call.stream.write_all(format!("{:x}\r\n{spoilt}\r\n", spoilt.len()).as_bytes());
        assert!(matches!(next(&told), News::Lost), "{:.20}", spoilt);
    }
    let mut call = next(&calls);
    call.answer();
    call.say("{\"rev\":43,\"all\":true,\"targets\":[]}\n");
    assert_eq!(list(next(&told)).revision, 43);
}

/// What it missed counts as told 6 s after it fell silent.
#[test]
fn a_watch_with_no_whole_line_is_opened_anew_in_time() {
    let (at, calls) = agent();
    let told = watch(at);
    let mut call = next(&calls);
    call.answer();
    let silent = Instant::now();
    call.say("\n");
    // Bytes that make no line, and no object that ends, are no sign of life.
    let mut stream = call.stream.try_clone().expect("a second handle");
    call.say("{\"rev\":41,");
    let chatter = std::thread::spawn(move || {
        while silent.elapsed() < LONG && stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::park_timeout(Duration::from_millis(100));
        }
    });
    assert!(matches!(next(&told), News::Lost));
    // One call that gets no answer is given up.
    let unanswered = next(&calls);
    assert!(unanswered.request.contains("index=40"));
    let mut answered = next(&calls);
    answered.answer();
    answered.say("{\"rev\":42,\"targets\":[]}\n");
    assert!(matches!(next(&told), News::Lost));
    assert_eq!(list(next(&told)).revision, 42);
    assert!(silent.elapsed() < TOLD, "{:?}", silent.elapsed());
    chatter.join().expect("no panic");
}
