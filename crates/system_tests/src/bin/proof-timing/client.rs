//! A client of the gatekeeper.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use system_tests::STEP_TIMEOUT;

/// The status of a request that was served.
pub(crate) const OK: u16 = 200;
/// Rejections and failures have this status or a higher one.
pub(crate) const TOO_MANY_REQUESTS: u16 = 429;

/// A client with one connection.
pub(crate) struct Client(BufReader<TcpStream>);

impl Client {
    pub(crate) fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("the program accepts");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a time-out can be set");
        let _ = stream.set_nodelay(true);
        Self(BufReader::new(stream))
    }

    /// Sends one request and returns the status of its answer.
    pub(crate) fn send_request(&mut self) -> u16 {
        let request = b"GET /loans HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n";
        self.0.get_mut().write_all(request).expect("it is taken");
        let (mut status, mut length, mut line) = (0, 0, String::new());
        while self.0.read_line(&mut line).expect("an answer") > 2 {
            if let Some(value) = line.strip_prefix("HTTP/1.1 ") {
                status = value[..3].parse().expect("a status");
            } else if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
            line.clear();
        }
        self.0.read_exact(&mut vec![0; length]).expect("a body");
        status
    }
}
