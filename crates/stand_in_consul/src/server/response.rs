//! HTTP responses: their encoding and sending.

use super::request::Request;
use crate::state::State;
use flate2::Compression;
use flate2::write::GzEncoder;
use serde_json::Value;
use std::io::Write;
use std::net::TcpStream;

const UNKNOWN_PATH: &str = "no such page here";
/// Body of responses with an injected status.
const INJECTED_FAULT: &str = "told to fail";

/// A response, before the headers that [`ResponseOptions`] adds.
pub(super) struct Response {
    status: u16,
    /// Value of `X-Consul-Index`; 0 for a response without it.
    index: u64,
    body: String,
}

/// Values of the headers about Consul's servers, and the encoding of the body.
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

    /// A response with the body `true` or `false`.
    pub(super) fn boolean(value: bool) -> Self {
        Self::text(200, if value { "true" } else { "false" })
    }

    /// The response to a path that the stand-in does not implement.
    pub(super) fn unknown_path() -> Self {
        Self::text(404, UNKNOWN_PATH)
    }

    /// The response with the status of an injected fault.
    pub(super) fn injected_fault(status: u16) -> Self {
        Self::text(status, INJECTED_FAULT)
    }

    /// The response to a read that found no key, with the index for the next blocking query.
    pub(super) fn not_found(index: u64) -> Self {
        Self { status: 404, index, body: String::new() }
    }

    /// Encodes the head and the body.
    fn encode(&self, options: ResponseOptions) -> std::io::Result<(String, Vec<u8>)> {
        let (body, encoding) = if options.compress {
            (compress(self.body.as_bytes())?, "Content-Encoding: gzip\r\n")
        } else {
            (self.body.clone().into_bytes(), "")
        };
        let index =
            if self.index > 0 { format!("X-Consul-Index: {}\r\n", self.index) } else { String::new() };
        let head = format!(
            "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nX-Consul-KnownLeader: {}\r\nX-Consul-LastContact: {}\r\n\
             {index}{encoding}Content-Length: {}\r\n\r\n",
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

fn compress(bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}
