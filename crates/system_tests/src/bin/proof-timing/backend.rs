//! A stand-in backend that has a configurable service time and counts its requests.

use fault_harness::connections::serve_connections;
use fault_harness::sync::lock;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Length of the empty line that ends the head of a request, with its CRLF.
const EMPTY_LINE_LENGTH: usize = 2;
/// Service time of a backend that is not slow.
pub(crate) const HEALTHY_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Service time of a slow backend or response.
pub(crate) const SLOW_SERVICE_TIME: Duration = Duration::from_millis(900);
/// Number of requests for each slow response of a backend with [`ServiceTime::OccasionallySlow`].
const REQUESTS_PER_SLOW_RESPONSE: u64 = 50;

/// The service time of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceTime {
    /// The same time for each request.
    Constant(Duration),
    /// [`SLOW_SERVICE_TIME`] for the last of every [`REQUESTS_PER_SLOW_RESPONSE`] requests, and [`HEALTHY_SERVICE_TIME`] for the
    /// others.
    OccasionallySlow,
    /// The backend reads requests and never responds.
    Never,
}

impl ServiceTime {
    /// Returns the service time of the request with this number, or `None` if the backend never responds.
    fn of_request(self, number: u64) -> Option<Duration> {
        let is_slow = number % REQUESTS_PER_SLOW_RESPONSE == REQUESTS_PER_SLOW_RESPONSE - 1;
        match self {
            Self::Constant(service_time) => Some(service_time),
            Self::OccasionallySlow if is_slow => Some(SLOW_SERVICE_TIME),
            Self::OccasionallySlow => Some(HEALTHY_SERVICE_TIME),
            Self::Never => None,
        }
    }
}

#[derive(Debug)]
struct State {
    service_time: Mutex<ServiceTime>,
    requests: AtomicU64,
}

/// A backend that runs until this process exits.
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

impl Backend {
    /// Starts a healthy backend.
    pub(crate) fn start() -> Self {
        let service_time = Mutex::new(ServiceTime::Constant(HEALTHY_SERVICE_TIME));
        let state = Arc::new(State { service_time, requests: AtomicU64::new(0) });
        let shared = state.clone();
        let any_port = ([127, 0, 0, 1], 0).into();
        let address = serve_connections(any_port, move |stream| serve(stream, &shared))
            .expect("listening on a free port");
        Self { address, state }
    }

    pub(crate) fn set_service_time(&self, service_time: ServiceTime) {
        *lock(&self.state.service_time) = service_time;
    }

    /// Returns the number of requests received so far.
    pub(crate) fn requests(&self) -> u64 {
        self.state.requests.load(Ordering::Relaxed)
    }
}

/// Serves a connection until the gatekeeper closes it.
fn serve(stream: TcpStream, state: &State) {
    let mut responses = stream.try_clone().expect("duplicating a connection");
    let mut requests = BufReader::new(stream);
    while read_request(&mut requests) {
        let number = state.requests.fetch_add(1, Ordering::Relaxed);
        let service_time = *lock(&state.service_time);
        let Some(service_time) = service_time.of_request(number) else {
            return wait_until_closed(&mut requests);
        };
        thread::sleep(service_time);
        if responses.write_all(RESPONSE).is_err() {
            return;
        }
    }
}

fn wait_until_closed(connection: &mut impl Read) {
    let _ = connection.read(&mut [0]);
}

/// Reads a request without a body. Returns whether the head of a request ended before the connection did.
fn read_request(connection: &mut impl BufRead) -> bool {
    let mut line = String::new();
    while connection.read_line(&mut line).is_ok_and(|length| length > EMPTY_LINE_LENGTH) {
        line.clear();
    }
    !line.is_empty()
}
