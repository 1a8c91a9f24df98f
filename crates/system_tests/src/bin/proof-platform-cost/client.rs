//! A client that sends queries one after the other on one connection.

use fault_harness::wire::resp_command;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use system_tests::STEP_TIMEOUT;

/// Number of tenants for which each client sends requests.
const TENANTS: u32 = 200;
/// The attributes of each query.
const ATTRIBUTES: &str = "c=lookup,t=team,d=2000,units=1,spread=1,first=0";

/// A client with one connection.
pub(crate) struct Client {
    /// Makes the request ids of this client unique.
    number: u32,
    requests: TcpStream,
    responses: BufReader<TcpStream>,
}

impl Client {
    pub(crate) fn connect(gatekeeper: SocketAddr, number: u32) -> Self {
        let requests = TcpStream::connect(gatekeeper).expect("the gatekeeper accepts");
        requests.set_read_timeout(Some(STEP_TIMEOUT)).expect("a time-out can be set");
        let _ = requests.set_nodelay(true);
        let responses = BufReader::new(requests.try_clone().expect("a second handle"));
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
        self.requests.write_all(&request).expect("a request is sent");
        self.read_response()
    }

    /// Reads a response. One that was served is a bulk string, of two lines.
    fn read_response(&mut self) -> bool {
        let mut line = String::new();
        self.responses.read_line(&mut line).expect("a response");
        let is_served = line.starts_with('$');
        if is_served {
            self.responses.read_line(&mut line).expect("a value");
        }
        is_served
    }
}
