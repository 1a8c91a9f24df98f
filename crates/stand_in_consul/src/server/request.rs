//! Requests.

use std::collections::HashMap;
use std::io::Read;
use std::net::TcpStream;

const READ_CHUNK: usize = 16 * 1024;
const MAX_BODY: usize = 1 << 20;

/// A request.
pub(super) struct Request {
    pub(super) method: String,
    /// As the client wrote it.
    pub(super) target: String,
    /// The target in front of the query, with escapes resolved.
    pub(super) path: String,
    pub(super) query: HashMap<String, String>,
    pub(super) token: String,
    pub(super) accepts_gzip: bool,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Reads one request; none where the connection ends first, or what comes is no request.
    pub(super) fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Self> {
        let head = loop {
            match http::parse_request_head(buffer).ok()? {
                Some(head) => break head,
                None => read_more(stream, buffer)?,
            }
        };
        let text =
            |range: &std::ops::Range<usize>| String::from_utf8_lossy(&buffer[range.clone()]).into_owned();
        let (method, target) = (text(&head.method), text(&head.target));
        let field = |name: &str| {
            let value = http::header_values(buffer, &head.fields, name).next().unwrap_or_default();
            String::from_utf8_lossy(value).into_owned()
        };
        let token = field("x-consul-token");
        let accepts_gzip = field("accept-encoding").contains("gzip");
        let mut body = http::BodyReader::new(head.framing, MAX_BODY).ok()?;
        buffer.drain(..head.length);
        while !body.read_from(buffer).ok()? {
            read_more(stream, buffer)?;
        }
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let (path, query) = (unescape(path), parse_query(query));
        Some(Self { method, path, query, body: body.bytes, target, token, accepts_gzip })
    }

    /// A parameter of the query.
    pub(super) fn parameter(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; READ_CHUNK];
    let length = stream.read(&mut chunk).ok().filter(|&length| length > 0)?;
    buffer.extend_from_slice(&chunk[..length]);
    Some(())
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let parameter = |text: &str| {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        (unescape(name), unescape(value))
    };
    query.split('&').filter(|text| !text.is_empty()).map(parameter).collect()
}

fn unescape(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        let mut digit = || bytes.next().and_then(|b| char::from(b).to_digit(16));
        match byte {
            b'%' => out.push(digit().zip(digit()).map_or(b'%', |(high, low)| (high * 16 + low) as u8)),
            b'+' => out.push(b' '),
            other => out.push(other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
