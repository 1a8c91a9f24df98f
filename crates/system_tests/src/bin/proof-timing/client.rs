//! A client of the gatekeeper.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use system_tests::STEP_TIMEOUT;

/// Status of a request that was served.
pub(crate) const OK: u16 = 200;
/// Rejections and failures have this status or a higher one.
pub(crate) const TOO_MANY_REQUESTS: u16 = 429;

const REQUEST: &[u8] = b"GET /loans HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n";
/// Length of the line that ends the head of a response.
const EMPTY_LINE_LENGTH: usize = 2;

/// A client with one connection.
pub(crate) struct Client {
    connection: BufReader<TcpStream>,
}

/// What the client reads from the head of a response.
#[derive(Default)]
struct ResponseHead {
    status: u16,
    content_length: usize,
}

impl Client {
    pub(crate) fn connect(gatekeeper: SocketAddr) -> Self {
        let stream = TcpStream::connect(gatekeeper).expect("the gatekeeper accepts");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a time-out can be set");
        let _ = stream.set_nodelay(true);
        Self { connection: BufReader::new(stream) }
    }

    /// Sends a request, reads the response and returns its status.
    pub(crate) fn send_request(&mut self) -> u16 {
        self.connection.get_mut().write_all(REQUEST).expect("a request is sent");
        let head = self.read_head();
        self.connection.read_exact(&mut vec![0; head.content_length]).expect("a body");
        head.status
    }

    fn read_head(&mut self) -> ResponseHead {
        let mut head = ResponseHead::default();
        let mut line = String::new();
        while self.connection.read_line(&mut line).expect("a response") > EMPTY_LINE_LENGTH {
            if let Some(status) = line.strip_prefix("HTTP/1.1 ") {
                head.status = status[..3].parse().expect("a status");
            } else if let Some(length) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                head.content_length = length.trim().parse().expect("a length");
            }
            line.clear();
        }
        head
    }
}
