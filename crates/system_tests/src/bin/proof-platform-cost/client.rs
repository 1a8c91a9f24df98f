//! A client that sends queries to the gatekeeper, one after the other on one connection.

use fault_harness::wire::resp_command;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use system_tests::STEP_TIMEOUT;

/// Number of tenants between which the requests of each client rotate.
const TENANTS: u32 = 200;
/// Attributes of each query, in the form that `SVC.QUERY` expects.
const ATTRIBUTES: &str = "c=lookup,t=team,d=2000,units=1,spread=1,first=0";

/// A client with one connection to the gatekeeper.
pub(crate) struct Client {
    /// Upper half of the request ids, which keeps the ids of different clients apart.
    number: u32,
    requests: TcpStream,
    responses: BufReader<TcpStream>,
}

impl Client {
    pub(crate) fn connect(gatekeeper: SocketAddr, number: u32) -> Self {
        let requests = TcpStream::connect(gatekeeper).expect("connecting to the gatekeeper");
        requests.set_read_timeout(Some(STEP_TIMEOUT)).expect("setting a read timeout");
        let _ = requests.set_nodelay(true);
        let responses = BufReader::new(requests.try_clone().expect("duplicating the connection"));
        Self { number, requests, responses }
    }

    /// Sends `count` requests and returns how many of them were served.
    pub(crate) fn send_requests(&mut self, count: u32) -> u32 {
        (0..count).map(|index| u32::from(self.send_request(index))).sum()
    }

    /// Sends a request and returns whether it was served.
    fn send_request(&mut self, index: u32) -> bool {
        let request_id = format!("{:016x}", u64::from(self.number) << 32 | u64::from(index));
        let tenant = format!("{:016x}", index % TENANTS);
        let request = resp_command(&["SVC.QUERY", &tenant, &request_id, ATTRIBUTES]);
        self.requests.write_all(&request).expect("sending a request");
        self.read_response()
    }

    /// Reads a response and returns whether the request was served. The response is then a bulk string, which has two lines; any
    /// other response has one.
    fn read_response(&mut self) -> bool {
        let mut line = String::new();
        self.responses.read_line(&mut line).expect("reading a response");
        let is_served = line.starts_with('$');
        if is_served {
            self.responses.read_line(&mut line).expect("reading the value of a response");
        }
        is_served
    }
}
