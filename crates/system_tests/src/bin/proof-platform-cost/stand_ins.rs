//! Stand-ins for the backends and for the discovery agent.

use fault_harness::connections::serve_connections;
use fault_harness::stand_ins::{write_watch_head, write_watch_line};
use fault_harness::wire::read_resp_command;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

const BACKENDS: usize = 4;
/// Index of the request id among the arguments of a request to a backend.
const REQUEST_ID_ARGUMENT: usize = 2;
/// Interval at which the agent sends an empty line, since it has no watch events.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The addresses of the stand-ins, which run until the process ends.
pub(crate) struct StandIns {
    pub(crate) agent: SocketAddr,
    pub(crate) backends: Vec<SocketAddr>,
}

impl StandIns {
    pub(crate) fn start() -> Self {
        let backends = (0..BACKENDS).map(|_| listen(serve_backend)).collect();
        Self { agent: listen(serve_agent), backends }
    }
}

/// Listens on a free port of loopback, serves each connection in a thread and returns the address.
fn listen(serve: fn(TcpStream)) -> SocketAddr {
    serve_connections(([127, 0, 0, 1], 0).into(), serve).expect("listening on a free port")
}

/// A backend that responds to each request at once with the id of the request.
fn serve_backend(stream: TcpStream) {
    let mut responses = stream.try_clone().expect("duplicating a connection");
    let mut requests = BufReader::new(stream);
    while let Some(arguments) = read_resp_command(&mut requests) {
        let request_id = arguments.get(REQUEST_ID_ARGUMENT).map_or("", String::as_str);
        let length = request_id.len();
        let response = format!("*3\r\n${length}\r\n{request_id}\r\n$-1\r\n$12\r\ninflight=1,q\r\n");
        if responses.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// A discovery agent that sends heartbeats and no watch events.
fn serve_agent(mut stream: TcpStream) {
    let _ = write_watch_head(&mut stream);
    while write_watch_line(&mut stream, "").is_ok() {
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}
