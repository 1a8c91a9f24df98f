//! A backend that answers after a while, or never, and counts its requests.

use fault_injection::connections::serve_connections;
use fault_injection::sync::lock;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Service time of a healthy backend.
pub(crate) const QUICK_MS: u64 = 5;
/// Service time of a slow backend.
pub(crate) const SLOW_MS: u64 = 900;
/// A backend that is sometimes slow is slow for one request in this many.
const SLOW_ONE_IN: u64 = 50;

/// The service time of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Latency {
    /// The same for each request, ms.
    Ms(u64),
    /// [`SLOW_MS`] for one request in fifty, and [`QUICK_MS`] for the others.
    SometimesSlow,
    /// It never answers.
    Never,
}

#[derive(Debug)]
struct State {
    latency: Mutex<Latency>,
    requests: AtomicU64,
}

/// A backend.
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

impl Backend {
    /// Starts a healthy backend.
    pub(crate) fn start() -> Self {
        let latency = Mutex::new(Latency::Ms(QUICK_MS));
        let state = Arc::new(State { latency, requests: AtomicU64::new(0) });
        let shared = state.clone();
        let any_port = ([127, 0, 0, 1], 0).into();
        let address = serve_connections(any_port, move |stream| serve(stream, &shared)).expect("a free port");
        Self { address, state }
    }

    pub(crate) fn set_latency(&self, latency: Latency) {
        *lock(&self.state.latency) = latency;
    }

    /// Requests so far.
    pub(crate) fn requests(&self) -> u64 {
        self.state.requests.load(Ordering::Relaxed)
    }
}

fn serve(stream: TcpStream, state: &State) {
    let mut answers = stream.try_clone().expect("a second handle");
    let mut requests = BufReader::new(stream);
    while read_head(&mut requests) {
        let number = state.requests.fetch_add(1, Ordering::Relaxed);
        let latency = *lock(&state.latency);
        let ms = match latency {
            // Until the gatekeeper hangs up.
            Latency::Never => return drop(requests.read(&mut [0])),
            Latency::SometimesSlow if number % SLOW_ONE_IN == SLOW_ONE_IN - 1 => SLOW_MS,
            Latency::SometimesSlow => QUICK_MS,
            Latency::Ms(ms) => ms,
        };
        thread::sleep(Duration::from_millis(ms));
        if answers.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
            return;
        }
    }
}

/// Reads the head of a request without a body; tells whether one came.
fn read_head(from: &mut impl BufRead) -> bool {
    let mut line = String::new();
    while from.read_line(&mut line).is_ok_and(|n| n > 2) {
        line.clear();
    }
    !line.is_empty()
}
