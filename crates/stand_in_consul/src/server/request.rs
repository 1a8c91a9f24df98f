//! Reads requests from a connection.

use std::collections::HashMap;
use std::io::Read;
use std::net::TcpStream;
use std::ops::Range;

/// Maximum number of bytes read from the connection at once.
const READ_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 1 << 20;

/// A parsed HTTP request.
pub(super) struct Request {
    pub(super) method: String,
    /// Path and query, as the client sent them.
    pub(super) target: String,
    /// Path without the query, percent-decoded.
    pub(super) path: String,
    /// Parameters of the query, percent-decoded.
    query: HashMap<String, String>,
    /// The ACL token (`X-Consul-Token`), or an empty string.
    pub(super) token: String,
    pub(super) accepts_gzip: bool,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Reads one request. Returns `None` if the connection ends or the received bytes are not a valid request.
    pub(super) fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Self> {
        let head = loop {
            match http::parse_request_head(buffer).ok()? {
                Some(head) => break head,
                None => read_more(stream, buffer)?,
            }
        };
        let text = |range: &Range<usize>| String::from_utf8_lossy(&buffer[range.clone()]).into_owned();
        let (method, target) = (text(&head.method), text(&head.target));
        let field = |name: &str| {
            let value = http::header_values(buffer, &head.fields, name).next().unwrap_or_default();
            String::from_utf8_lossy(value).into_owned()
        };
        let token = field("x-consul-token");
        let accepts_gzip = field("accept-encoding").contains("gzip");
        let mut body = http::BodyReader::new(head.framing, MAX_BODY_BYTES).ok()?;
        buffer.drain(..head.length);
        while !body.read_from(buffer).ok()? {
            read_more(stream, buffer)?;
        }
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let (path, query) = (percent_decode(path), parse_query(query));
        Some(Self { method, path, query, body: body.bytes, target, token, accepts_gzip })
    }

    /// Whether the request may change the state.
    pub(super) fn is_write(&self) -> bool {
        self.method != "GET"
    }

    /// Returns a parameter of the query; an empty string for a parameter without value, such as `recurse`.
    pub(super) fn parameter(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; READ_BYTES];
    let length = stream.read(&mut chunk).ok().filter(|&length| length > 0)?;
    buffer.extend_from_slice(&chunk[..length]);
    Some(())
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let parameter = |text: &str| {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        (percent_decode(name), percent_decode(value))
    };
    query.split('&').filter(|text| !text.is_empty()).map(parameter).collect()
}

/// Decodes percent-encoding, and `+` as a space.
fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        let mut digit = || bytes.next().and_then(|byte| char::from(byte).to_digit(16));
        match byte {
            b'%' => decoded.push(digit().zip(digit()).map_or(b'%', |(high, low)| (high * 16 + low) as u8)),
            b'+' => decoded.push(b' '),
            other => decoded.push(other),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
