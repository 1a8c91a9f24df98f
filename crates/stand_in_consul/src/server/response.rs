//! Responses.

use super::request::Request;
use crate::consul::State;
use flate2::Compression;
use flate2::write::GzEncoder;
use serde_json::Value;
use std::io::Write;
use std::net::TcpStream;

/// A response.
pub(super) struct Response {
    status: u16,
    /// 0 for none.
    index: u64,
    body: String,
}

/// What is stated about the servers on every response, and how its body is sent.
#[derive(Clone, Copy, Default)]
pub(super) struct ResponseOptions {
    last_contact_ms: u64,
    leaderless: bool,
    compress: bool,
}

impl ResponseOptions {
    pub(super) fn of(state: &State, request: &Request) -> Self {
        Self {
            last_contact_ms: state.last_contact_ms,
            leaderless: state.leaderless,
            compress: state.compresses && request.accepts_gzip,
        }
    }
}

impl Response {
    pub(super) fn json(index: u64, value: &Value) -> Self {
        Self { status: 200, index, body: value.to_string() }
    }

    pub(super) fn text(status: u16, text: &str) -> Self {
        Self { status, index: 0, body: text.to_owned() }
    }

    /// There is nothing there, as of this index.
    pub(super) fn not_found(index: u64) -> Self {
        Self { status: 404, index, body: String::new() }
    }

    /// The head, and the body as it is sent.
    fn encode(&self, options: ResponseOptions) -> std::io::Result<(String, Vec<u8>)> {
        let (body, coding) = if options.compress {
            let mut gzip = GzEncoder::new(Vec::new(), Compression::fast());
            gzip.write_all(self.body.as_bytes())?;
            (gzip.finish()?, "Content-Encoding: gzip\r\n")
        } else {
            (self.body.clone().into_bytes(), "")
        };
        let index =
            if self.index > 0 { format!("X-Consul-Index: {}\r\n", self.index) } else { String::new() };
        let head = format!(
            "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nX-Consul-KnownLeader: {}\r\nX-Consul-LastContact: {}\r\n\
             {index}{coding}Content-Length: {}\r\n\r\n",
            self.status,
            !options.leaderless,
            options.last_contact_ms,
            body.len()
        );
        Ok((head, body))
    }

    pub(super) fn send(&self, stream: &mut TcpStream, options: ResponseOptions) -> std::io::Result<()> {
        let (head, body) = self.encode(options)?;
        stream.write_all(&[head.as_bytes(), &body].concat())
    }

    /// Sends the head and half of the body.
    pub(super) fn send_half(&self, stream: &mut TcpStream, options: ResponseOptions) -> std::io::Result<()> {
        let (head, body) = self.encode(options)?;
        stream.write_all(&[head.as_bytes(), &body[..body.len() / 2]].concat())
    }
}
