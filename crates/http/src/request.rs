//! Requests: parsing heads from clients, and encoding requests for backends.

use crate::error::{HttpError, MalformedMessage};
use crate::fields::{
    Framing, HeaderField, MAX_HEAD_BYTES, MAX_HEADER_FIELDS, field_ranges, has_list_token, header_values,
    range_in, stated_framing, write_end_to_end_fields,
};
use std::ops::Range;

/// The field that each gateway adds to the requests that it forwards (RFC 9110, section 7.6.3).
const VIA: &[u8] = b"Via: 1.1 snowfield\r\n";
/// Capacity for the bytes that forwarding adds to a head.
const ADDED_HEAD_BYTES: usize = 64;
/// Minor version of HTTP/1.1.
const HTTP_1_1: u8 = 1;
/// Minor version of HTTP/1.0.
const HTTP_1_0: u8 = 0;

/// The head of a request. Its parts are ranges of bytes in the buffer from which it was parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Range in the buffer of the method, such as `GET`.
    pub method: Range<usize>,
    /// Range in the buffer of the request target, in the form in which it was received.
    pub target: Range<usize>,
    /// The header fields, in the order in which they were received.
    pub fields: Vec<HeaderField>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Number of bytes of the head, its final empty line included.
    pub length: usize,
}

/// Parses the head of a request at the start of the buffer. Returns `None` if more bytes must arrive.
///
/// # Errors
///
/// Returns an error if the bytes are not a request, the head is too large, or its framing is ambiguous.
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
    /// The request line and the end-to-end fields, each terminated by CRLF.
    pub head: Vec<u8>,
    /// The body; `None` if the request had none.
    pub body: Option<Vec<u8>>,
    /// Whether the method is HEAD: the response then has no body, even if its fields state one.
    pub is_head: bool,
}

impl Request {
    /// Builds the request to forward, with `target` in place of the received target and with an added `Via` field. The ranges of
    /// `head` are in `buffer`.
    pub fn new(buffer: &[u8], head: &RequestHead, target: &[u8], body: Vec<u8>) -> Self {
        let method = &buffer[head.method.clone()];
        let mut forwarded = Vec::with_capacity(head.length + ADDED_HEAD_BYTES);
        for part in [method, b" ", target, b" HTTP/1.1\r\n"] {
            forwarded.extend_from_slice(part);
        }
        write_end_to_end_fields(buffer, &head.fields, &mut forwarded);
        forwarded.extend_from_slice(VIA);
        let body = (head.framing != Framing::Empty).then_some(body);
        Self { head: forwarded, body, is_head: method == b"HEAD" }
    }

    /// Appends the encoded request, with `Content-Length` if it has a body.
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
