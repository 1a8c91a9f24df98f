//! Requests: the head as a client sends it, and the request as it is forwarded.

use crate::error::{HttpError, MalformedMessage};
use crate::fields::{
    Framing, HeaderField, MAX_HEAD_BYTES, MAX_HEADER_FIELDS, field_ranges, has_list_token, header_values,
    range_in, stated_framing, write_end_to_end_fields,
};
use std::ops::Range;

/// A gateway adds itself to each request that it forwards (RFC 9110, section 7.6.3).
const VIA: &[u8] = b"Via: 1.1 snowfield\r\n";
/// Minor version of HTTP/1.1.
const HTTP_1_1: u8 = 1;
/// Minor version of HTTP/1.0.
const HTTP_1_0: u8 = 0;

/// The head of a request, by ranges in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Range<usize>,
    /// The target as it was received.
    pub target: Range<usize>,
    /// The fields, in order.
    pub fields: Vec<HeaderField>,
    /// How the body ends.
    pub framing: Framing,
    /// The connection may be used again.
    pub keep_alive: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Bytes of the head.
    pub length: usize,
}

/// Parses the head of a request; `None` where more bytes must arrive.
///
/// # Errors
///
/// The bytes are no request, or one whose meaning two readers could take in different ways.
pub fn parse_request_head(buffer: &[u8]) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(buffer)? {
        httparse::Status::Complete(length) if length <= MAX_HEAD_BYTES => {
            read_head(buffer, &request, length).map(Some)
        }
        httparse::Status::Partial if buffer.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(HttpError::HeadTooLarge),
    }
}

fn read_head(
    buffer: &[u8],
    request: &httparse::Request<'_, '_>,
    length: usize,
) -> Result<RequestHead, HttpError> {
    let (Some(method), Some(target), Some(version)) = (request.method, request.path, request.version) else {
        return Err(MalformedMessage::NotHttp11.into());
    };
    let fields = field_ranges(buffer, request.headers);
    let stated = stated_framing(buffer, &fields)?;
    if version == HTTP_1_0 && stated == Some(Framing::Chunked) {
        return Err(MalformedMessage::TransferEncodingInHttp10.into());
    }
    match header_values(buffer, &fields, "host").count() {
        1 => {}
        0 if version == HTTP_1_0 => {}
        _ => return Err(MalformedMessage::Host.into()),
    }
    let closes = has_list_token(buffer, &fields, "connection", "close");
    let expects_continue = has_list_token(buffer, &fields, "expect", "100-continue");
    Ok(RequestHead {
        method: range_in(buffer, method.as_bytes()),
        target: range_in(buffer, target.as_bytes()),
        framing: stated.unwrap_or(Framing::Empty),
        keep_alive: version == HTTP_1_1 && !closes,
        expects_continue: version == HTTP_1_1 && expects_continue,
        length,
        fields,
    })
}

/// A request as it is forwarded to a backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The request line and the end-to-end fields, each with its line's end.
    pub head: Vec<u8>,
    /// The body, where the request had one.
    pub body: Option<Vec<u8>>,
    /// The method is HEAD: the response has no body, whatever its fields say.
    pub is_head: bool,
}

impl Request {
    /// The request of this head and body, with `Via` added. `buffer` holds the head.
    pub fn new(buffer: &[u8], head: &RequestHead, target: &[u8], body: Vec<u8>) -> Self {
        let method = &buffer[head.method.clone()];
        let mut forwarded = Vec::with_capacity(head.length + 64);
        for part in [method, b" ", target, b" HTTP/1.1\r\n"] {
            forwarded.extend_from_slice(part);
        }
        write_end_to_end_fields(buffer, &head.fields, &mut forwarded);
        forwarded.extend_from_slice(VIA);
        let body = (head.framing != Framing::Empty).then_some(body);
        Self { head: forwarded, body, is_head: method == b"HEAD" }
    }

    /// Appends the bytes of the request.
    pub fn encode(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.head);
        if let Some(body) = &self.body {
            out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
            out.extend_from_slice(body);
        } else {
            out.extend_from_slice(b"\r\n");
        }
    }
}
