//! A client of the gatekeeper.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use system_tests::STEP_TIMEOUT;

/// HTTP status of a request that was served.
pub(crate) const OK: u16 = 200;
/// The lowest HTTP status of rejections and failures.
pub(crate) const TOO_MANY_REQUESTS: u16 = 429;

const REQUEST: &[u8] = b"GET /loans HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n";
/// Length of the empty line that ends the head of a response, with its CRLF.
const EMPTY_LINE_LENGTH: usize = 2;

/// A client with one connection to the gatekeeper.
pub(crate) struct Client {
    connection: BufReader<TcpStream>,
}

/// The values that the client reads from the head of a response.
#[derive(Default)]
struct ResponseHead {
    status: u16,
    content_length: usize,
}

impl Client {
    pub(crate) fn connect(gatekeeper: SocketAddr) -> Self {
        let stream = TcpStream::connect(gatekeeper).expect("connecting to the gatekeeper");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("setting a read timeout");
        let _ = stream.set_nodelay(true);
        Self { connection: BufReader::new(stream) }
    }

    /// Sends a request, reads the response and returns its status.
    pub(crate) fn send_request(&mut self) -> u16 {
        self.connection.get_mut().write_all(REQUEST).expect("sending a request");
        let head = self.read_head();
        self.connection
            .read_exact(&mut vec![0; head.content_length])
            .expect("reading the body of a response");
        head.status
    }

    fn read_head(&mut self) -> ResponseHead {
        let mut head = ResponseHead::default();
        let mut line = String::new();
        while self.connection.read_line(&mut line).expect("reading the head of a response")
            > EMPTY_LINE_LENGTH
        {
            if let Some(status) = line.strip_prefix("HTTP/1.1 ") {
                head.status = status[..3].parse().expect("parsing the status of a response");
            } else if let Some(length) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                head.content_length =
                    length.trim().parse().expect("parsing the content length of a response");
            }
            line.clear();
        }
        head
    }
}
